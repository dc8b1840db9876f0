/**
 * Computes a fingerprint that is the same each time a request is sent.
 */
import { createHash } from 'node:crypto'

const FINGERPRINT_BYTES = 12
const MAX_HASHED_BYTES = 64 * 1024

/** `body` is undefined if it is not buffered. Then only a request with a key or without a body has a fingerprint. */
export interface FingerprintInput {
  service: string
  method: string
  path: string
  key: string | undefined
  hasBody: boolean
  body: Uint8Array | undefined
}

export function computeFingerprint ({ service, method, path, key, hasBody, body }: FingerprintInput): string | undefined {
  if (key !== undefined) return hashParts('key', service, key)
  if (hasBody && body === undefined) return undefined
  return hashParts('body', service, method, path, body?.subarray(0, MAX_HASHED_BYTES) ?? '')
}

function hashParts (...parts: Array<string | Uint8Array>): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${part.length} `).update(part)
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url')
}
