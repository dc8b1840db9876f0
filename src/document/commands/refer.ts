/**
 * The `referrers` objects: an edit that refers to a service is recorded there before it is
 * written, by a conditional update of the object that a deletion of the service marks too.
 * So of the two one loses, whichever way they interleave.
 */
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { attemptWrite, convertStoreFault, waitBeforeRetry } from '../context.js'
import type { EditContext } from '../context.js'
import { isPresent, readReferrers, readState } from '../queries/read.js'
import type { ReferrersState, ServiceState } from '../queries/read.js'
import { decideEntry, deriveWithout, deriveWithReferrer, isRecorded } from '../queries/referrer.js'
import { makeMissingReference } from '../queries/references.js'
import type { Reference } from '../queries/referrer.js'
import type { Referrers } from '../stored.js'
import { fenceService } from './fence.js'

/** Other tools that write the same object make an attempt fail; 32 at once is far above what teams do. */
const ATTEMPTS = 32

export async function recordReference (context: EditContext, reference: Reference): Promise<Result<undefined, Fault>> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const recorded = await recordOnce(context, reference)
    if (recorded.err || recorded.val) return recorded.err ? recorded : Ok(undefined)
    await waitBeforeRetry(context, attempt)
  }
  return Err(makeContention(reference.service))
}

/** False when the object has changed meanwhile, or was fenced, and has to be looked at again. */
async function recordOnce (context: EditContext, reference: Reference): Promise<Result<boolean, Fault>> {
  const held = await readReferrers(context, reference.service)
  if (held.err) return held
  if (isRecorded(held.val, reference)) return Ok(true)
  const target = await readState(context, reference.service)
  if (target.err) return target
  if (!isPresent(target.val)) return Err(makeMissing(reference, target.val))
  const { closing } = held.val.referrers
  if (closing !== undefined && closing >= target.val.version) {
    await fenceService(context, target.val)
    return Ok(false)
  }
  return await writeReferrers(context, reference.service, held.val, deriveWithReferrer(held.val.referrers, reference.referrer))
}

/** Removes the entry of a referrer that no longer refers to the service; true when none is left. */
export async function releaseReference (context: EditContext, service: string, referrer: string): Promise<Result<boolean, Fault>> {
  const held = await readReferrers(context, service)
  if (held.err) return held
  const base = held.val.referrers.referrers[referrer]
  if (base === undefined) return Ok(true)
  // Read after the object, so that an edit recorded later changes the object and refuses the removal.
  const state = await readState(context, referrer)
  if (state.err) return state
  if (decideEntry(state.val, base, service) !== 'over') return Ok(false)
  return await writeReferrers(context, service, held.val, deriveWithout(held.val.referrers, [referrer]))
}

/**
 * Marks a service as closing at its version, with no referrer left. Entries of edits that may
 * still come are fenced first. False when something has changed and all has to be read again.
 */
export async function markClosing (context: EditContext, target: ServiceState): Promise<Result<boolean, Fault>> {
  const held = await readReferrers(context, target.service)
  if (held.err) return held
  if (held.val.referrers.closing === target.version) return Ok(true)
  const cleared = await clearReferrers(context, target.service, held.val.referrers)
  if (cleared.err || !cleared.val) return cleared
  return await writeReferrers(context, target.service, held.val, { referrers: {}, closing: target.version })
}

/** False when an entry was fenced. */
async function clearReferrers (context: EditContext, service: string, { referrers }: Referrers): Promise<Result<boolean, Fault>> {
  const present: string[] = []
  let settled = true
  for (const [name, base] of Object.entries(referrers)) {
    const state = await readState(context, name)
    if (state.err) return state
    const entry = decideEntry(state.val, base, service)
    if (entry === 'present') present.push(name)
    if (entry === 'unreadable') return Err(makeUnreadable(service, name))
    if (entry !== 'pending') continue
    await fenceService(context, state.val)
    settled = false
  }
  return present.length === 0 ? Ok(settled) : Err(makeReferenced(service, present))
}

/** True when written. Without an answer or after a conflict the object is read again. */
async function writeReferrers (
  context: EditContext, service: string, held: ReferrersState, value: Referrers
): Promise<Result<boolean, Fault>> {
  const written = await attemptWrite(context, { kind: 'referrers', name: service, expected: held.version, value })
  if (written.ok) return Ok(true)
  if (written.val.code === 'conflict') return Ok(false)
  const fault = convertStoreFault(written.val)
  // What may have been written here is an entry or a mark, which hold nobody up for good.
  return Err(fault.code === 'unknown' ? { ...fault, code: 'unreachable' } : fault)
}

function makeMissing ({ service, referrer }: Reference, target: ServiceState): Fault {
  if (target.version > 0 && target.edit === undefined) {
    return makeFault('invalid_object', `the object of ${service}, which ${referrer.service} refers to, holds no edit; apply a valid document to it first`)
  }
  return makeMissingReference(referrer.service, service)
}

function makeReferenced (service: string, present: readonly string[]): Fault {
  return makeFault('referenced', `${service} is still referred to by ${present.join(', ')}`, {
    expected: 'a service that no other refers to', found: present.join(', ')
  })
}

function makeUnreadable (service: string, name: string): Fault {
  return makeFault('referenced', `the object of ${name} holds no valid document, and a version of it that is in force may refer to ${service}; apply a valid document to ${name} first`)
}

export function makeContention (service: string): Fault {
  return makeFault('contention', `other edits changed what concerns ${service} at every attempt; nothing changed, try again`)
}
