/**
 * Follows the rollouts in the store, on the reader nodes of a zone only. The others get them by the exchanges between peers.
 */
import { computeBackoff } from '../../core/index.js'
import type { Clock, Random } from '../../core/index.js'
import type { StorePosition } from '../../store/index.js'
import type { RolloutSet } from '../schema.js'
import type { RolloutStore } from '../store.js'

export interface FollowContext {
  store: RolloutStore
  clock: Clock
  random: Random
  isReader: () => boolean
  onSet: (set: RolloutSet) => void
}

const ROLE_CHECK_INTERVAL_MS = 1_000
const BACKOFF = { baseMs: 200, maxMs: 2_000 }
/** A watch that ends before this time without a change was interrupted. */
const MIN_WATCH_MS = 1_000

export async function followRollouts (context: FollowContext, signal: AbortSignal): Promise<void> {
  const { clock, random, isReader } = context
  let position: StorePosition | undefined
  let failures = 0
  while (!signal.aborted) {
    if (!isReader()) {
      position = undefined
      await clock.sleep(ROLE_CHECK_INTERVAL_MS, signal)
      continue
    }
    const startedAt = clock.monotonic()
    const next = await fetchStep(context, position, signal)
    if (signal.aborted) return
    failures = next === undefined ? failures + 1 : 0
    const isEarly = position !== undefined && clock.monotonic() - startedAt < MIN_WATCH_MS
    position = next
    if (failures > 0 || isEarly) await clock.sleep(computeBackoff(Math.max(1, failures), BACKOFF, random), signal)
  }
}

/** Returns undefined after a fault; the rollouts are then read anew, since a watch may have missed a change. */
async function fetchStep (
  { store, onSet }: FollowContext, position: StorePosition | undefined, signal: AbortSignal
): Promise<StorePosition | undefined> {
  const step = position === undefined ? await store.read() : await store.watch(position, signal)
  if (step.err) return undefined
  if (step.val.set !== undefined) onSet(step.val.set)
  return step.val.position
}
