/**
 * The history of a service: its last edits with their documents, kept by best effort after an edit is accepted.
 */
import { attemptWrite } from '../context.js'
import type { EditContext } from '../context.js'
import { readHistory } from '../queries/read.js'
import type { History, PastEdit } from '../stored.js'

export const KEPT_EDITS = 10
export const MAX_HISTORY_BYTES = 512 * 1024
const ATTEMPTS = 3

/** True when the history holds the edits. */
export async function keepHistory (context: EditContext, service: string, edits: readonly PastEdit[]): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const held = await readHistory(context, service)
    if (held.err) return false
    const value = deriveHistory(held.val.edits, edits)
    const written = await attemptWrite(context, { kind: 'history', name: service, expected: held.val.version, value })
    if (written.ok) return true
    if (written.val.code !== 'conflict') return false
  }
  return false
}

/** Newest first, each edit once at its last version, as many as the limits take. */
export function deriveHistory (held: readonly PastEdit[], edits: readonly PastEdit[]): History {
  const newest = new Map<string, PastEdit>()
  for (const past of [...held, ...edits].sort((left, right) => left.version - right.version)) newest.set(past.editId, past)
  const kept = [...newest.values()].sort((left, right) => right.version - left.version).slice(0, KEPT_EDITS)
  while (kept.length > 1 && Buffer.byteLength(JSON.stringify({ edits: kept })) > MAX_HISTORY_BYTES) kept.pop()
  return { edits: kept }
}
