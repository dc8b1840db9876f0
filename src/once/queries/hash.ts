/**
 * The hash that shows whether two sends with one key are the same request.
 */
import { createHash } from 'node:crypto'

const HASH_BYTES = 12

export function hashRequest (method: string, path: string, body: Uint8Array): string {
  const hash = createHash('sha256').update(`${method} ${path}\n`).update(body)
  return hash.digest().subarray(0, HASH_BYTES).toString('base64url')
}
