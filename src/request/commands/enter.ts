/**
 * Lets a call begin its attempts, or refuses it before the first one, and learns from its end. Where decisions by expected time are not in
 * force for the service, every call begins.
 */
import { Err, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { EntryGroup, EntryPolicy } from '../entry.js'
import type { WorkControl } from '../workcontrol.js'

export interface EntryContext { entry?: EntryPolicy | undefined, control?: WorkControl | undefined }

export interface EnteringCall { service: string, group: EntryGroup, objectiveMs: number, isCallerDisconnected: () => boolean }

/** Refusals for lack of room, which a client may answer by returning later. */
const ROOM_CODES = new Set(['queue_full', 'shed', 'no_time', 'deadline_in_queue', 'target_refused', 'no_room', 'nested_no_room'])

export async function admitCall<T> (
  { entry, control }: EntryContext, { service, group, objectiveMs, isCallerDisconnected }: EnteringCall, run: () => Promise<Result<T, Failure>>
): Promise<Result<T, Failure>> {
  if (entry === undefined || control?.isInForce !== true) return await run()
  if (entry.isRefused(service, group)) {
    entry.recordCall(service, group, false)
    const message = `the targets of ${service} have no room for requests of this class`
    return Err(makeFailure('not-run', 503, 'no_room', message, entry.computeRetryAfter(service, group, objectiveMs)))
  }
  const result = await run()
  // A nested call that is not answered in time fails its run as one that is refused does.
  const hasFoundRoom = result.ok || (group !== 'nested' && !isRoomFailure(result.val))
  if (hasFoundRoom || !isCallerDisconnected() || group === 'nested') entry.recordCall(service, group, hasFoundRoom)
  const retryAfterMs = entry.computeRetryAfter(service, group, objectiveMs)
  return result.mapErr(failure => isRoomFailure(failure) ? { ...failure, retryAfterMs } : failure)
}

function isRoomFailure ({ verdict, code }: Failure): boolean {
  return verdict === 'not-run' && ROOM_CODES.has(code)
}
