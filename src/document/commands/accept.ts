/**
 * Writes an edit conditionally and determines its outcome: accepted as a version, not accepted, or
 * not known.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { attemptWrite, convertStoreFault } from '../context.js'
import type { EditContext, WriteFault } from '../context.js'
import { decideOutcome, findPastVersion, MAX_EARLIER_EDITS } from '../queries/outcome.js'
import type { EditOutcome } from '../queries/outcome.js'
import { readHistory, readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import type { Edit } from '../stored.js'

/** `acceptedAt` is the tool's wall clock in ms, as stored in the object. */
export interface AcceptedEdit { service: string, version: number, editId: string, acceptedAt: number }

export type EditContent = Pick<Edit, 'editId' | 'author' | 'document' | 'deleted'>

/** Reads the state that an edit replaces. Returns a conflict if it is not the expected version. */
export async function readBase (context: EditContext, service: string, expected: number | undefined): Promise<Result<ServiceState, Fault>> {
  const base = await readState(context, service)
  if (base.err || expected === undefined || expected === base.val.version) return base
  return Err(makeConflictFault({ service, version: expected }, base.val.version))
}

export async function acceptEdit (context: EditContext, base: ServiceState, content: EditContent): Promise<Result<AcceptedEdit, Fault>> {
  const { service } = base
  const edit: Edit = { ...content, acceptedAt: context.clock.now(), earlierEdits: listEarlierEdits(base) }
  const written = await attemptWrite(context, { kind: 'service', name: service, expected: base.version, value: edit })
  if (written.ok) return Ok(makeAcceptedEdit(base, edit, written.val))
  if (written.val.code !== 'conflict' && !written.val.outcomeUnknown) return Err(convertStoreFault(written.val))
  return await resolveWrite(context, base, edit, written.val)
}

function listEarlierEdits ({ version, edit }: ServiceState): Edit['earlierEdits'] {
  if (edit === undefined) return []
  return [{ editId: edit.editId, version }, ...edit.earlierEdits].slice(0, MAX_EARLIER_EDITS)
}

function makeAcceptedEdit ({ service }: ServiceState, { editId, acceptedAt }: Edit, version: number): AcceptedEdit {
  return { service, version, editId, acceptedAt }
}

/** The conflict may be with an earlier attempt of the same write whose response was lost. */
async function resolveWrite (context: EditContext, base: ServiceState, edit: Edit, fault: WriteFault): Promise<Result<AcceptedEdit, Fault>> {
  const current = await readState(context, base.service)
  if (!fault.outcomeUnknown) return Err(makeConflictFault(base, current.ok ? current.val.version : fault.version))
  if (current.err) return Err(makeUnknownOutcomeFault(base, edit))
  const outcome = await resolveOutcome(context, edit.editId, base, current.val)
  switch (outcome.state) {
    case 'accepted': return Ok(makeAcceptedEdit(base, edit, outcome.version))
    case 'not-accepted': return Err(makeConflictFault(base, current.val.version))
    case 'not-known': return Err(makeUnknownOutcomeFault(base, edit))
  }
}

/** The history has some edits that the object no longer lists. An edit that is missing in the history may still have been accepted. */
async function resolveOutcome (context: EditContext, editId: string, base: ServiceState, current: ServiceState): Promise<EditOutcome> {
  const outcome = decideOutcome(base, current, editId)
  if (outcome.state !== 'not-known') return outcome
  const history = await readHistory(context, base.service)
  const version = history.ok ? findPastVersion(history.val.edits, editId) : undefined
  return version === undefined ? outcome : { state: 'accepted', version }
}

export function makeConflictFault (base: Pick<ServiceState, 'service' | 'version'>, currentVersion: number | undefined): Fault {
  const found = currentVersion === undefined ? 'another version' : currentVersion === 0 ? 'no object' : `version ${currentVersion}`
  return makeFault('conflict', `the edit of ${base.service} is not accepted: the platform has ${found}`, {
    expected: `version ${base.version}`, found, ...(currentVersion === undefined ? {} : { version: currentVersion })
  })
}

function makeUnknownOutcomeFault ({ service, version }: ServiceState, { editId }: Edit): Fault {
  return makeFault('unknown', `it is not known whether the edit ${editId} of ${service} on version ${version} was accepted; check with: comfreyspoke get --edit ${editId} ${service}`, { editId })
}
