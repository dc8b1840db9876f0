/**
 * Reads text from another process up to a limit, since a faulty sender may send bytes without end.
 */
import type { Readable } from 'node:stream'

/** Returns undefined if the text is longer than `maxBytes`. The stream then still has the rest, and its owner has to close it. */
export async function readText (stream: Readable, maxBytes: number): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of stream.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maxBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

/** Returns undefined, and closes the stream, if the text is longer than `maxBytes`. */
export async function readWholeText (stream: Readable, maxBytes: number): Promise<string | undefined> {
  const text = await readText(stream, maxBytes)
  if (text === undefined) stream.on('error', () => {}).destroy()
  return text
}

/** Returns the lines of a stream. Throws an error if a line is longer than `maxBytes`. */
export async function * readLines (stream: Readable, maxBytes: number): AsyncGenerator<string> {
  let rest = ''
  for await (const chunk of stream.setEncoding('utf8') as AsyncIterable<string>) {
    const lines = (rest + chunk).split('\n')
    rest = lines.pop() ?? ''
    yield * lines
    if (rest.length > maxBytes) throw new Error(`a line is longer than ${maxBytes} bytes`)
  }
  if (rest !== '') yield rest
}
