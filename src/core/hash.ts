/**
 * Canonical JSON and hashes. Values that are equal as JSON have the same canonical text
 * regardless of key order, so the hash shows whether two nodes have the same content.
 */
import { createHash } from 'node:crypto'
import { configure } from 'safe-stable-stringify'

const HASH_BYTES = 12

const stringify = configure({ deterministic: true, strict: true })

export function formatCanonicalJson (value: unknown): string {
  return stringify(value) ?? 'null'
}

/** Returns the first 12 bytes of SHA-256 as base64url: enough against accidental collisions, not against forgery. */
export function hashText (text: string): string {
  return createHash('sha256').update(text).digest().subarray(0, HASH_BYTES).toString('base64url')
}

export function hashValue (value: unknown): string {
  return hashText(formatCanonicalJson(value))
}
