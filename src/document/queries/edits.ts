/**
 * What became of an edit, by its id: the answer that a tool could not give when the platform did not answer it.
 */
import { Ok } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore } from '../../store/index.js'
import { findEditVersion, findPastVersion } from './outcome.js'
import { listEdits, readEdit, readPastEdits } from './read.js'
import type { StoredEdit } from './read.js'

export interface FoundEdit { service: string, version: number, editId: string }

/** Nothing when no service has the edit among its last 16 or in its history. Without a service all are asked. */
export async function findEdit (store: ObjectStore, editId: string, service?: string): Promise<Result<FoundEdit | undefined, Fault>> {
  const asked = service === undefined ? await listStored(store) : await readStored(store, service)
  if (asked.err) return asked
  for (const stored of asked.val) {
    const version = findEditVersion(stored.version, stored.edit, editId)
    if (version !== undefined) return Ok({ service: stored.service, version, editId })
  }
  const names = service === undefined ? asked.val.map(stored => stored.service) : [service]
  for (const name of names) {
    const past = await readPastEdits(store, name)
    if (past.err) return past
    const version = findPastVersion(past.val, editId)
    if (version !== undefined) return Ok({ service: name, version, editId })
  }
  return Ok(undefined)
}

async function listStored (store: ObjectStore): Promise<Result<StoredEdit[], Fault>> {
  const listed = await listEdits(store)
  return listed.ok ? Ok(listed.val.edits) : listed
}

/** An object that holds no edit leaves the history to ask. */
async function readStored (store: ObjectStore, service: string): Promise<Result<StoredEdit[], Fault>> {
  const stored = await readEdit(store, service)
  if (stored.err) return stored.val.code === 'invalid_object' ? Ok([]) : stored
  return Ok(stored.val === undefined ? [] : [stored.val])
}
