/**
 * Reads documents from YAML or JSON. A file may contain several documents; `-` is standard input.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { isNode, LineCounter, parseAllDocuments } from 'yaml'
import type { Document as YamlDocument, YAMLError } from 'yaml'
import { Err, Ok, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import { checkDocument } from '../document/index.js'
import type { Document } from '../document/index.js'
import type { FileFault } from './output.js'

/** Returns the documents of all files, or the faults of all files when there are any. */
export async function loadFiles (files: readonly string[]): Promise<Result<Document[], FileFault[]>> {
  const loaded = await Promise.all(files.map(loadDocuments))
  const faults = loaded.flatMap(result => result.err ? result.val : [])
  return faults.length > 0 ? Err(faults) : Ok(loaded.flatMap(result => result.ok ? result.val : []))
}

export async function loadDocuments (file: string): Promise<Result<Document[], FileFault[]>> {
  try {
    const content = file === '-' ? await text(process.stdin) : await readFile(file, 'utf8')
    return parseDocuments(file, content)
  } catch (error) {
    return Err([{ ...makeFault('unreadable', describeError(error)), file }])
  }
}

/** The YAML parser reports syntax errors such as duplicate keys and tabs as indentation. */
export function parseDocuments (file: string, content: string): Result<Document[], FileFault[]> {
  const lines = new LineCounter()
  const parsed = parseAllDocuments(content, { lineCounter: lines, prettyErrors: false })
  const results = [...parsed].map(yaml => parseYamlDocument(file, yaml, lines))
  if (results.length === 0) return Err([{ ...makeFault('empty', 'there is no document', { expected: 'a YAML or JSON document', found: 'nothing' }), file }])
  const faults = results.flatMap(result => result.err ? result.val : [])
  return faults.length > 0 ? Err(faults) : Ok(results.flatMap(result => result.ok ? [result.val] : []))
}

function parseYamlDocument (file: string, yaml: YamlDocument, lines: LineCounter): Result<Document, FileFault[]> {
  const problems = [...yaml.errors, ...yaml.warnings]
  if (problems.length > 0) return Err(problems.map(problem => convertProblem(file, problem, lines)))
  const checked = checkDocument(yaml.toJS())
  return checked.ok ? checked : Err(checked.val.map(fault => convertFault(file, fault, yaml, lines)))
}

function convertProblem (file: string, problem: YAMLError, lines: LineCounter): FileFault {
  const { line, col } = lines.linePos(problem.pos[0])
  return { ...makeFault('yaml', problem.message, { expected: 'valid YAML', found: `${problem.code} at column ${col}` }), file, line }
}

function convertFault (file: string, fault: Fault, yaml: YamlDocument, lines: LineCounter): FileFault {
  const line = findLine(yaml, fault.path, lines)
  return line === undefined ? { ...fault, file } : { ...fault, file, line }
}

/** Returns the line of the value at the path, or undefined when the document has no such value. */
function findLine (yaml: YamlDocument, path: Fault['path'], lines: LineCounter): number | undefined {
  const node: unknown = path.length === 0 ? yaml.contents : yaml.getIn(path, true)
  return isNode(node) && node.range !== undefined && node.range !== null ? lines.linePos(node.range[0]).line : undefined
}
