/**
 * Computes a fingerprint that is the same each time a request is sent. Of a body only the beginning counts, so that the fingerprint does
 * not depend on whether the body is held whole or passed on as it comes.
 */
import { createHash } from 'node:crypto'

const FINGERPRINT_BYTES = 12
/** A body is known by this many of its first bytes. */
export const MAX_HASHED_BYTES = 64 * 1024

/** `body` begins with MAX_HASHED_BYTES or all of the body. If it is undefined, only a request with a key or without a body has a fingerprint. */
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
