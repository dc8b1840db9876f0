/**
 * The `referrers` objects. An edit that refers to a service is recorded in the service's `referrers`
 * object before the edit is written, by a conditional update. A deletion of the service marks the
 * same object, so one of the two fails, whichever way they interleave.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { attemptWrite, convertStoreFault, waitBeforeRetry } from '../context.js'
import type { EditContext } from '../context.js'
import { isPresent, readReferrers, readState } from '../queries/read.js'
import type { ReferrersState, ServiceState } from '../queries/read.js'
import { decideEntry, deriveWithoutReferrers, deriveWithReferrer, isRecorded } from '../queries/referrer.js'
import { makeMissingReferenceFault } from '../queries/references.js'
import type { Reference } from '../queries/referrer.js'
import type { Referrers } from '../stored.js'
import { fenceService } from './fence.js'

/** An attempt fails when another tool writes the same object. 32 concurrent writers are far more than teams have. */
const MAX_ATTEMPTS = 32

export async function recordReference (context: EditContext, reference: Reference): Promise<Result<undefined, Fault>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const recorded = await attemptRecordReference(context, reference)
    if (recorded.err || recorded.val) return recorded.err ? recorded : Ok(undefined)
    await waitBeforeRetry(context, attempt)
  }
  return Err(makeContentionFault(reference.service))
}

/** Resolves to false when the object has changed meanwhile, or was fenced, and has to be read again. */
async function attemptRecordReference (context: EditContext, reference: Reference): Promise<Result<boolean, Fault>> {
  const current = await readReferrers(context, reference.service)
  if (current.err) return current
  if (isRecorded(current.val, reference)) return Ok(true)
  const referred = await readState(context, reference.service)
  if (referred.err) return referred
  if (!isPresent(referred.val)) return Err(makeMissingServiceFault(reference, referred.val))
  const { closing } = current.val.referrers
  if (closing !== undefined && closing >= referred.val.version) {
    await fenceService(context, referred.val)
    return Ok(false)
  }
  return await writeReferrers(context, reference.service, current.val, deriveWithReferrer(current.val.referrers, reference.referrer))
}

/** Removes the entry of a referrer that no longer refers to the service. Resolves to true when the referrer has no entry. */
export async function releaseReference (context: EditContext, service: string, referrer: string): Promise<Result<boolean, Fault>> {
  const current = await readReferrers(context, service)
  if (current.err) return current
  const base = current.val.referrers.referrers[referrer]
  if (base === undefined) return Ok(true)
  // Read after the `referrers` object, so that an edit recorded later changes that object and the removal conflicts.
  const state = await readState(context, referrer)
  if (state.err) return state
  if (decideEntry(state.val, base, service) !== 'over') return Ok(false)
  return await writeReferrers(context, service, current.val, deriveWithoutReferrers(current.val.referrers, [referrer]))
}

/**
 * Marks a service as closing at its version, once it has no referrer left. Referrers whose edits may
 * still arrive are fenced first. Resolves to false when an object changed and all must be read again.
 */
export async function markClosing (context: EditContext, state: ServiceState): Promise<Result<boolean, Fault>> {
  const current = await readReferrers(context, state.service)
  if (current.err) return current
  if (current.val.referrers.closing === state.version) return Ok(true)
  const cleared = await clearReferrers(context, state.service, current.val.referrers)
  if (cleared.err || !cleared.val) return cleared
  return await writeReferrers(context, state.service, current.val, { referrers: {}, closing: state.version })
}

/** Resolves to false when a referrer was fenced. */
async function clearReferrers (context: EditContext, service: string, { referrers }: Referrers): Promise<Result<boolean, Fault>> {
  const present: string[] = []
  let noneFenced = true
  for (const [name, base] of Object.entries(referrers)) {
    const state = await readState(context, name)
    if (state.err) return state
    const entry = decideEntry(state.val, base, service)
    if (entry === 'present') present.push(name)
    if (entry === 'unreadable') return Err(makeUnreadableReferrerFault(service, name))
    if (entry !== 'pending') continue
    await fenceService(context, state.val)
    noneFenced = false
  }
  return present.length === 0 ? Ok(noneFenced) : Err(makeReferencedFault(service, present))
}

/**
 * Resolves to true when written. Resolves to false after a conflict, which may be with an earlier attempt of
 * this write that had no response; the object then has to be read again.
 */
async function writeReferrers (
  context: EditContext, service: string, current: ReferrersState, value: Referrers
): Promise<Result<boolean, Fault>> {
  const written = await attemptWrite(context, { kind: 'referrers', name: service, expected: current.version, value })
  if (written.ok) return Ok(true)
  if (written.val.code === 'conflict') return Ok(false)
  const fault = convertStoreFault(written.val)
  // A write without a response may have stored an entry or a closing mark. Neither blocks other edits permanently.
  return Err(fault.code === 'unknown' ? { ...fault, code: 'unreachable' } : fault)
}

function makeMissingServiceFault ({ service, referrer }: Reference, referred: ServiceState): Fault {
  if (referred.version > 0 && referred.edit === undefined) {
    return makeFault('invalid_object', `the object of ${service}, which ${referrer.service} refers to, contains no edit; apply a valid document to it first`)
  }
  return makeMissingReferenceFault(referrer.service, service)
}

function makeReferencedFault (service: string, present: readonly string[]): Fault {
  return makeFault('referenced', `${service} is still referred to by ${present.join(', ')}`, {
    expected: 'a service that no other refers to', found: present.join(', ')
  })
}

function makeUnreadableReferrerFault (service: string, name: string): Fault {
  return makeFault('referenced', `the object of ${name} contains no valid document, and a version of it that is in force may refer to ${service}; apply a valid document to ${name} first`)
}

export function makeContentionFault (service: string): Fault {
  return makeFault('contention', `other edits changed ${service} or its references during every attempt; this edit was not accepted, try again`)
}
