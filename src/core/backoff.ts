/**
 * Exponential backoff with full jitter, so that clients that fail at the same time do not retry at the same time.
 */
import type { Random } from './random.js'

export interface BackoffLimits { baseMs: number, maxMs: number }

export function computeBackoff (attempt: number, limits: BackoffLimits, random: Random): number {
  const ceiling = Math.min(limits.maxMs, limits.baseMs * 2 ** Math.min(attempt, 20))
  return Math.floor(random.next() * ceiling)
}
