/**
 * The conditional write of an edit, with a true answer about it: accepted as a version, not
 * accepted, or not known.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { attemptWrite, convertStoreFault } from '../context.js'
import type { EditContext, WriteFault } from '../context.js'
import { decideOutcome, findPastVersion, KEPT_EARLIER_EDITS } from '../queries/outcome.js'
import type { Outcome } from '../queries/outcome.js'
import { readHistory, readState } from '../queries/read.js'
import type { ServiceState } from '../queries/read.js'
import type { Edit } from '../stored.js'

/** `acceptedAt` is the tool's wall clock in ms, as it stands in the object. */
export interface AcceptedEdit { service: string, version: number, editId: string, acceptedAt: number }

export type EditContent = Pick<Edit, 'editId' | 'author' | 'document' | 'deleted'>

export async function acceptEdit (context: EditContext, base: ServiceState, content: EditContent): Promise<Result<AcceptedEdit, Fault>> {
  const { service } = base
  const edit: Edit = { ...content, acceptedAt: context.clock.now(), earlierEdits: listEarlier(base) }
  const written = await attemptWrite(context, { kind: 'service', name: service, expected: base.version, value: edit })
  if (written.ok) return Ok(makeAccepted(base, edit, written.val))
  if (written.val.code !== 'conflict' && !written.val.unsure) return Err(convertStoreFault(written.val))
  return await resolveWrite(context, base, edit, written.val)
}

function listEarlier ({ version, edit }: ServiceState): Edit['earlierEdits'] {
  if (edit === undefined) return []
  return [{ editId: edit.editId, version }, ...edit.earlierEdits].slice(0, KEPT_EARLIER_EDITS)
}

function makeAccepted ({ service }: ServiceState, { editId, acceptedAt }: Edit, version: number): AcceptedEdit {
  return { service, version, editId, acceptedAt }
}

/** The conflict may be with an attempt of this very write whose answer was lost. */
async function resolveWrite (context: EditContext, base: ServiceState, edit: Edit, fault: WriteFault): Promise<Result<AcceptedEdit, Fault>> {
  const now = await readState(context, base.service)
  if (!fault.unsure) return Err(makeConflictFault(base, now.ok ? now.val.version : fault.version))
  if (now.err) return Err(makeUnknown(base, edit))
  const outcome = await resolveOutcome(context, edit.editId, base, now.val)
  switch (outcome.state) {
    case 'accepted': return Ok(makeAccepted(base, edit, outcome.version))
    case 'not-accepted': return Err(makeConflictFault(base, now.val.version))
    case 'not-known': return Err(makeUnknown(base, edit))
  }
}

/** The history knows some edits that the object has forgotten; that it does not know one says nothing. */
async function resolveOutcome (context: EditContext, editId: string, base: ServiceState, now: ServiceState): Promise<Outcome> {
  const outcome = decideOutcome(base, now, editId)
  if (outcome.state !== 'not-known') return outcome
  const history = await readHistory(context, base.service)
  const version = history.ok ? findPastVersion(history.val.edits, editId) : undefined
  return version === undefined ? outcome : { state: 'accepted', version }
}

export function makeConflictFault (base: Pick<ServiceState, 'service' | 'version'>, winner: number | undefined): Fault {
  const found = winner === undefined ? 'another version' : winner === 0 ? 'no object' : `version ${winner}`
  return makeFault('conflict', `the edit of ${base.service} is not accepted: the platform holds ${found}`, {
    expected: `version ${base.version}`, found, ...(winner === undefined ? {} : { version: winner })
  })
}

function makeUnknown ({ service, version }: ServiceState, { editId }: Edit): Fault {
  return makeFault('unknown', `it is not known whether the edit ${editId} of ${service} on version ${version} was accepted; ask with: comfreyspoke get --edit ${editId} ${service}`, { editId })
}
