/**
 * Converts objects of the platform to versions that nodes can apply. Each object is validated
 * completely, because a write that bypasses the operator's tool may contain anything.
 */
import { Err, Ok, formatFault, hashValue } from '../../core/index.js'
import type { Result } from '../../core/index.js'
import type { StoredObject } from '../../store/index.js'
import type { Document } from '../schema.js'
import type { PastEdit } from '../stored.js'
import { checkDocument } from './check.js'
import { parseStoredEdit } from './read.js'

/** The content of a service's object at one version. Without a document the service is deleted. */
export interface DocumentVersion { service: string, version: number, acceptedAt: number, hash: string, document?: Document }

/** The error is the reason why the object is rejected. */
export function convertStoredObject (object: StoredObject): Result<DocumentVersion, string> {
  const stored = parseStoredEdit(object)
  if (stored.err) return Err(stored.val.message)
  const { edit, version } = stored.val
  const converted = convertEdit(object.name, { ...edit, version })
  return converted.ok ? Ok({ ...converted.val, acceptedAt: edit.fencedAt ?? edit.acceptedAt }) : converted
}

export function convertEdit (service: string, { version, acceptedAt, document: value, deleted }: PastEdit): Result<DocumentVersion, string> {
  if (deleted) return Ok({ service, version, acceptedAt, hash: '' })
  const document = checkDocument(value)
  if (document.err) return Err(document.val.map(formatFault).join('; '))
  if (document.val.service !== service) return Err(`the document names another service: ${document.val.service}`)
  return Ok({ service, version, acceptedAt, hash: hashValue(document.val), document: document.val })
}

/** Returns the newest valid version below a rejected one. */
export function findLastValidVersion (service: string, below: number, history: readonly PastEdit[]): DocumentVersion | undefined {
  const older = history.filter(past => past.version < below).sort((left, right) => right.version - left.version)
  for (const past of older) {
    const converted = convertEdit(service, past)
    if (converted.ok) return converted.val
  }
  return undefined
}
