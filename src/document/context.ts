/**
 * The dependencies of the commands on documents, and store operations that are retried while the
 * platform does not respond or limits the request rate.
 */
import { Err, SystemRandom, computeBackoff, makeFault } from '../core/index.js'
import type { Clock, Fault, Random, Result } from '../core/index.js'
import type { ObjectStore, StoreFault, Write } from '../store/index.js'

export interface EditContext { store: ObjectStore, clock: Clock, random: Random }

/** What a request for any edit of a service has. */
export interface EditRequest {
  author: string
  /** The version to replace or delete, 0 for a new service. Absent: the current version. */
  expected?: number
  /** For the jitter between attempts. */
  random?: Random
}

const MAX_STORE_ATTEMPTS = 5
const RETRY_BACKOFF = { baseMs: 100, maxMs: 2_000 }

const TRANSIENT_CODES: ReadonlySet<StoreFault['code']> = new Set(['unreachable', 'unknown', 'throttled'])

/** `outcomeUnknown`: an attempt of the same write had no response, so the fault may be the result of that attempt. */
export type WriteFault = StoreFault & { outcomeUnknown: boolean }

export function makeEditContext (store: ObjectStore, clock: Clock, { random = new SystemRandom() }: EditRequest): EditContext {
  return { store, clock, random }
}

export async function attemptRead<T> (context: EditContext, read: () => Promise<Result<T, StoreFault>>): Promise<Result<T, Fault>> {
  for (let attempt = 0; ; attempt += 1) {
    const result = await read()
    if (result.ok) return result
    if (!TRANSIENT_CODES.has(result.val.code) || attempt + 1 === MAX_STORE_ATTEMPTS) return Err(convertReadFault(result.val))
    await waitBeforeRetry(context, attempt)
  }
}

/**
 * Retries a conditional write until a response arrives, up to a limit. The write takes effect at
 * most once, because the version that it replaces no longer exists then.
 */
export async function attemptWrite (context: EditContext, change: Write): Promise<Result<number, WriteFault>> {
  let outcomeUnknown = false
  for (let attempt = 0; ; attempt += 1) {
    const written = await context.store.commands.write(change)
    if (written.ok) return written
    const fault = written.val
    outcomeUnknown ||= fault.code === 'unknown'
    if (!TRANSIENT_CODES.has(fault.code) || attempt + 1 === MAX_STORE_ATTEMPTS) return Err({ ...fault, outcomeUnknown })
    await waitBeforeRetry(context, attempt)
  }
}

/** Full jitter, so that tools that conflict on an object do not conflict again immediately. */
export async function waitBeforeRetry ({ clock, random }: EditContext, attempt: number): Promise<void> {
  await clock.sleep(computeBackoff(attempt, RETRY_BACKOFF, random))
}

export function convertStoreFault ({ code, message, version }: StoreFault): Fault {
  return makeFault(code, message, version === undefined ? {} : { version })
}

/** A read changes nothing, so a read without a response is not reported as an unknown outcome. */
export function convertReadFault (fault: StoreFault): Fault {
  return convertStoreFault(fault.code === 'unknown' ? { ...fault, code: 'unreachable' } : fault)
}
