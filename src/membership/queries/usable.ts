/**
 * Which targets of a service may get new work.
 */
import type { Target } from '../schema.js'

/** Ready targets; starting ones only where no target is ready; lost ones only where no other is left; leaving ones never. */
export function selectUsable (targets: readonly Target[]): readonly Target[] {
  const present = targets.filter(target => target.state !== 'leaving' && !target.lost)
  const ready = present.filter(target => target.state === 'ready')
  if (ready.length > 0) return ready
  return present.length > 0 ? present : targets.filter(target => target.state !== 'leaving')
}
