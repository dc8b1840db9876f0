/**
 * Selects the targets of a service that may receive new requests.
 */
import type { Target } from '../schema.js'

/** Returns the ready targets, or the starting targets if none is ready. Leaving targets are never returned. */
export function selectUsable (targets: readonly Target[]): readonly Target[] {
  const ready = targets.filter(target => target.state === 'ready')
  return ready.length > 0 ? ready : targets.filter(target => target.state !== 'leaving')
}
