/**
 * Which targets of a service may get new work.
 */
import type { Target } from '../schema.js'

/** Ready targets; starting ones only where no target is ready; leaving ones never. */
export function selectUsable (targets: readonly Target[]): readonly Target[] {
  const ready = targets.filter(target => target.state === 'ready')
  return ready.length > 0 ? ready : targets.filter(target => target.state !== 'leaving')
}
