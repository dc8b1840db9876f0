/**
 * What the commands on documents work with, and calls to the platform that are repeated while
 * it does not answer or limits its rate.
 */
import { Err, computeBackoff, makeFault } from '../core/index.js'
import type { Clock, Fault, Random, Result } from '../core/index.js'
import type { ObjectStore, StoreFault, Write } from '../store/index.js'

export interface EditContext { store: ObjectStore, clock: Clock, random: Random }

const CALL_ATTEMPTS = 5
const BACKOFF = { baseMs: 100, maxMs: 2_000 }

const PASSING_CODES: ReadonlySet<StoreFault['code']> = new Set(['unreachable', 'unknown', 'throttled'])

/** `unsure`: an earlier attempt of the same write had no answer, so it may be what the fault is about. */
export type WriteFault = StoreFault & { unsure: boolean }

export async function attemptRead<T> (context: EditContext, read: () => Promise<Result<T, StoreFault>>): Promise<Result<T, Fault>> {
  for (let attempt = 0; ; attempt += 1) {
    const answer = await read()
    if (answer.ok) return answer
    if (!PASSING_CODES.has(answer.val.code) || attempt + 1 === CALL_ATTEMPTS) return Err(convertReadFault(answer.val))
    await waitBeforeRetry(context, attempt)
  }
}

/**
 * Repeats one conditional write until an answer comes. It takes effect at most once, since the
 * version that it replaces is gone then.
 */
export async function attemptWrite (context: EditContext, change: Write): Promise<Result<number, WriteFault>> {
  let unsure = false
  for (let attempt = 0; ; attempt += 1) {
    const written = await context.store.commands.write(change)
    if (written.ok) return written
    const fault = written.val
    unsure ||= fault.code === 'unknown'
    if (!PASSING_CODES.has(fault.code) || attempt + 1 === CALL_ATTEMPTS) return Err({ ...fault, unsure })
    await waitBeforeRetry(context, attempt)
  }
}

/** Full jitter: tools that met on one object do not meet again at once. */
export async function waitBeforeRetry ({ clock, random }: EditContext, attempt: number): Promise<void> {
  await clock.sleep(computeBackoff(attempt, BACKOFF, random))
}

export function convertStoreFault ({ code, message, version }: StoreFault): Fault {
  return makeFault(code, message, version === undefined ? {} : { version })
}

/** A read changes nothing, so no answer to it leaves nothing unknown. */
export function convertReadFault (fault: StoreFault): Fault {
  return convertStoreFault(fault.code === 'unknown' ? { ...fault, code: 'unreachable' } : fault)
}
