/**
 * What became of an edit, by its id: the answer that a tool could not give when the platform did not answer it.
 */
import { Ok } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../platform/index.js'
import { findEditVersion, findPastVersion } from './outcome.js'
import { listEdits, readPastEdits } from './read.js'

export interface FoundEdit { service: string, version: number, editId: string }

/** Nothing when no service has the edit among its last 16 or in its history. Without a service all are asked. */
export async function findEdit (store: ObjectStore, editId: string, service?: string): Promise<Result<FoundEdit | undefined, Fault>> {
  const listed = await listEdits(store)
  if (listed.err) return listed
  const asked = listed.val.edits.filter(stored => service === undefined || stored.service === service)
  for (const stored of asked) {
    const version = findEditVersion(stored.version, stored.edit, editId)
    if (version !== undefined) return Ok({ service: stored.service, version, editId })
  }
  const names = service === undefined ? asked.map(stored => stored.service) : [service]
  for (const name of names) {
    const past = await readPastEdits(store, name)
    if (past.err) return past
    const version = findPastVersion(past.val, editId)
    if (version !== undefined) return Ok({ service: name, version, editId })
  }
  return Ok(undefined)
}
