/**
 * The history of a service: its last edits with their documents, updated by best effort after an edit is accepted.
 */
import { attemptWrite } from '../context.js'
import type { EditContext } from '../context.js'
import { readHistory } from '../queries/read.js'
import type { History, PastEdit } from '../stored.js'

export const MAX_HISTORY_EDITS = 10
export const MAX_HISTORY_BYTES = 512 * 1024
const MAX_ATTEMPTS = 3

/** Resolves to true when the edits were added to the history. */
export async function updateHistory (context: EditContext, service: string, edits: readonly PastEdit[]): Promise<boolean> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const current = await readHistory(context, service)
    if (current.err) return false
    const value = deriveHistory(current.val.edits, edits)
    const written = await attemptWrite(context, { kind: 'history', name: service, expected: current.val.version, value })
    if (written.ok) return true
    if (written.val.code !== 'conflict') return false
  }
  return false
}

/** Returns the newest edits first, each edit once at its last version, within the limits on count and size. */
export function deriveHistory (existing: readonly PastEdit[], edits: readonly PastEdit[]): History {
  const newest = new Map<string, PastEdit>()
  for (const past of [...existing, ...edits].sort((left, right) => left.version - right.version)) newest.set(past.editId, past)
  const selected = [...newest.values()].sort((left, right) => right.version - left.version).slice(0, MAX_HISTORY_EDITS)
  while (selected.length > 1 && Buffer.byteLength(JSON.stringify({ edits: selected })) > MAX_HISTORY_BYTES) selected.pop()
  return { edits: selected }
}
