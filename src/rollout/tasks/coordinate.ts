/**
 * Reads the object of each rollout that this node coordinates, and writes its status when the targets of the other version are closed.
 * A write whose response is lost shows in the next read; one that is refused is tried again with the revision that was read.
 */
import type { Clock } from '../../core/index.js'
import type { RolloutCoordinators } from '../coordinators.js'
import type { RolloutCoordinator, RolloutHosts } from '../coordinator.js'
import type { Rollout, RolloutState } from '../schema.js'
import type { RolloutStore } from '../store.js'

export interface CoordinateContext {
  store: RolloutStore
  clock: Clock
  coordinators: RolloutCoordinators
  findHosts: (rollout: Rollout) => RolloutHosts
  onWritten: (rollout: Rollout, state: RolloutState, reason: string) => void
  onFault: (rollout: Rollout, reason: string) => void
}

const STEP_MS = 500
/** The calls of a rollout that is going on. Each is charged. */
const CONFIRM_INTERVAL_MS = 1_500

export async function runCoordination (context: CoordinateContext, signal: AbortSignal): Promise<void> {
  const { clock, coordinators } = context
  while (!signal.aborted) {
    await clock.sleep(STEP_MS, signal)
    if (!signal.aborted) await Promise.all(coordinators.list().map(async coordinator => { await advanceRollout(context, coordinator) }))
  }
}

/** One step of one rollout. */
export async function advanceRollout (context: CoordinateContext, coordinator: RolloutCoordinator): Promise<void> {
  const { store, clock, findHosts } = context
  coordinator.recordHosts(findHosts(coordinator.rollout))
  const { reason } = coordinator.decide()
  const outcome = coordinator.findOutcome()
  if (outcome === undefined && clock.monotonic() - coordinator.checkedAt < CONFIRM_INTERVAL_MS) return
  coordinator.markChecked()
  const read = await store.get(coordinator.rollout.service)
  if (read.err) {
    context.onFault(coordinator.rollout, read.val.message)
    return
  }
  const current = read.val
  // A rollout that was replaced, withdrawn or written by another coordinator ends when the readers of the zone tell of it.
  if (current?.id !== coordinator.rollout.id || current.state !== 'running') return
  coordinator.recordConfirmation()
  const state = outcome ?? (current.hasStatus ? undefined : 'running')
  if (state === undefined) return
  const written = await store.writeState(current, state)
  if (written.err) context.onFault(current, written.val.message)
  else context.onWritten(written.val, state, state === 'running' ? '' : reason)
}
