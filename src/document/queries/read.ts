/**
 * Reads documents from the platform.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore, StoredObject } from '../../store/index.js'
import { attemptRead, convertReadFault } from '../context.js'
import type { EditContext } from '../context.js'
import { editSchema, historySchema, referrersSchema } from '../stored.js'
import type { Edit, PastEdit, Referrers } from '../stored.js'
import { checkDocument } from './check.js'
import { listReferences } from './references.js'

export interface StoredEdit { service: string, version: number, edit: Edit }

/** The current object of a service. `version` is 0 when there is no object; `edit` is undefined when the value is not an edit. */
export interface ServiceState { service: string, version: number, value: unknown, edit: Edit | undefined }

export interface ReferrersState { version: number, referrers: Referrers }

export interface HistoryState { version: number, edits: PastEdit[] }

export async function readState (context: EditContext, service: string): Promise<Result<ServiceState, Fault>> {
  const found = await attemptRead(context, async () => await context.store.queries.get('service', service))
  if (found.err) return found
  const edit = editSchema.safeParse(found.val?.value)
  return Ok({ service, version: found.val?.version ?? 0, value: found.val?.value, edit: edit.data })
}

/** Returns true when the service exists and may be referred to. */
export function isPresent (state: ServiceState): boolean {
  return state.edit !== undefined && !state.edit.deleted
}

/** Returns undefined when the object has no valid document: nodes then keep an earlier version, whose references are not known here. */
export function findReferences (state: ServiceState): readonly string[] | undefined {
  if (state.version === 0 || state.edit?.deleted === true) return []
  const document = checkDocument(state.edit?.document)
  return document.ok ? listReferences(document.val) : undefined
}

export async function readReferrers (context: EditContext, service: string): Promise<Result<ReferrersState, Fault>> {
  const found = await attemptRead(context, async () => await context.store.queries.get('referrers', service))
  if (found.err) return found
  const parsed = referrersSchema.safeParse(found.val?.value ?? {})
  if (!parsed.success) return Err(makeFault('invalid_object', `the referrers object of ${service} does not parse: ${parsed.error.message}`))
  return Ok({ version: found.val?.version ?? 0, referrers: parsed.data })
}

/** A history that does not parse is treated as empty, because the history is updated by best effort only. */
export async function readHistory (context: EditContext, service: string): Promise<Result<HistoryState, Fault>> {
  const found = await attemptRead(context, async () => await context.store.queries.get('history', service))
  if (found.err) return found
  return Ok({ version: found.val?.version ?? 0, edits: historySchema.safeParse(found.val?.value).data?.edits ?? [] })
}

/** Returns the accepted edits in the history of a service. */
export async function readPastEdits (store: ObjectStore, service: string): Promise<Result<PastEdit[], Fault>> {
  const found = await store.queries.get('history', service)
  if (found.err) return Err(convertReadFault(found.val))
  return Ok(historySchema.safeParse(found.val?.value).data?.edits ?? [])
}

/** The versions of the services that have an object, and the services that may be referred to. Read one by one, since a list may be stale. */
export interface Presence { versions: Map<string, number>, present: Set<string> }

export async function readPresence (store: ObjectStore, services: Iterable<string>): Promise<Result<Presence, Fault>> {
  const presence: Presence = { versions: new Map(), present: new Set() }
  for (const service of services) {
    const found = await store.queries.get('service', service)
    if (found.err) return Err(convertReadFault(found.val))
    if (found.val === undefined) continue
    presence.versions.set(service, found.val.version)
    const edit = editSchema.safeParse(found.val.value)
    if (edit.success && !edit.data.deleted) presence.present.add(service)
  }
  return Ok(presence)
}

export async function readEdit (store: ObjectStore, service: string): Promise<Result<StoredEdit | undefined, Fault>> {
  const found = await store.queries.get('service', service)
  if (found.err) return Err(convertReadFault(found.val))
  return found.val === undefined ? Ok(undefined) : parseStoredEdit(found.val)
}

export interface InvalidObject { service: string, version: number, reason: string }

export interface EditList { edits: StoredEdit[], invalid: InvalidObject[] }

export async function listEdits (store: ObjectStore): Promise<Result<EditList, Fault>> {
  const found = await store.queries.list('service')
  if (found.err) return Err(convertReadFault(found.val))
  const list: EditList = { edits: [], invalid: [] }
  for (const object of found.val.objects) {
    const parsed = parseStoredEdit(object)
    if (parsed.ok) list.edits.push(parsed.val)
    else list.invalid.push({ service: object.name, version: object.version, reason: parsed.val.message })
  }
  return Ok(list)
}

export function parseStoredEdit (object: StoredObject): Result<StoredEdit, Fault> {
  const edit = editSchema.safeParse(object.value)
  if (edit.success) return Ok({ service: object.name, version: object.version, edit: edit.data })
  return Err(makeFault('invalid_object', `object of ${object.name} at version ${object.version} is not an edit`, { version: object.version }))
}
