/**
 * Reads of documents on the platform.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { ObjectStore, StoredObject } from '../../platform/index.js'
import { editSchema } from '../schema.js'
import type { Edit } from '../schema.js'

export interface StoredEdit { service: string, version: number, edit: Edit }

export async function readEdit (store: ObjectStore, service: string): Promise<Result<StoredEdit | undefined, Fault>> {
  const found = await store.queries.get('service', service)
  if (found.err) return Err(makeFault(found.val.code, found.val.message))
  return found.val === undefined ? Ok(undefined) : parseStored(found.val)
}

export async function listEdits (store: ObjectStore): Promise<Result<StoredEdit[], Fault>> {
  const found = await store.queries.list('service')
  if (found.err) return Err(makeFault(found.val.code, found.val.message))
  const edits: StoredEdit[] = []
  for (const object of found.val.objects) {
    const parsed = parseStored(object)
    if (parsed.ok) edits.push(parsed.val)
  }
  return Ok(edits)
}

export function parseStored (object: StoredObject): Result<StoredEdit, Fault> {
  const edit = editSchema.safeParse(object.value)
  if (edit.success) return Ok({ service: object.name, version: object.version, edit: edit.data })
  return Err(makeFault('invalid_object', `object of ${object.name} at version ${object.version} is not an edit`, { version: object.version }))
}
