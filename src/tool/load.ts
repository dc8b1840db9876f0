/**
 * Reads a document from a YAML or JSON file; `-` is standard input.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { parse } from 'yaml'
import { Err, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import { checkDocument } from '../document/index.js'
import type { Document } from '../document/index.js'

export async function loadDocument (file: string): Promise<Result<Document, Fault[]>> {
  try {
    const content = file === '-' ? await text(process.stdin) : await readFile(file, 'utf8')
    return checkDocument(parse(content))
  } catch (error) {
    return Err([makeFault('unreadable', `${file}: ${describeError(error)}`)])
  }
}
