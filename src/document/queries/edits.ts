/**
 * Finds an accepted edit by its id, for a tool that could not report the outcome because the platform did not respond.
 */
import { Ok } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { findEditVersion, findPastVersion } from './outcome.js'
import { listEdits, readEdit, readPastEdits } from './read.js'
import type { StoredEdit } from './read.js'

export interface FoundEdit { service: string, version: number, editId: string }

/** Returns undefined when no service has the edit among its last 16 or in its history. Without `service`, all services are searched. */
export async function findEdit (store: ObjectStore, editId: string, service?: string): Promise<Result<FoundEdit | undefined, Fault>> {
  const candidates = service === undefined ? await listStoredEdits(store) : await readStoredEdits(store, service)
  if (candidates.err) return candidates
  for (const stored of candidates.val) {
    const version = findEditVersion(stored.version, stored.edit, editId)
    if (version !== undefined) return Ok({ service: stored.service, version, editId })
  }
  const names = service === undefined ? candidates.val.map(stored => stored.service) : [service]
  for (const name of names) {
    const past = await readPastEdits(store, name)
    if (past.err) return past
    const version = findPastVersion(past.val, editId)
    if (version !== undefined) return Ok({ service: name, version, editId })
  }
  return Ok(undefined)
}

async function listStoredEdits (store: ObjectStore): Promise<Result<StoredEdit[], Fault>> {
  const listed = await listEdits(store)
  return listed.ok ? Ok(listed.val.edits) : listed
}

/** An object that contains no edit is skipped, so that the history is still searched. */
async function readStoredEdits (store: ObjectStore, service: string): Promise<Result<StoredEdit[], Fault>> {
  const stored = await readEdit(store, service)
  if (stored.err) return stored.val.code === 'invalid_object' ? Ok([]) : stored
  return Ok(stored.val === undefined ? [] : [stored.val])
}
