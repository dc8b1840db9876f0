/**
 * Checks that the repeats of a service stay within a retry budget.
 */
import type { SharedRetryBudget } from '../../src/request/index.js'

/** Times of the requests for one service, and of its arrivals beyond the first of each request, in milliseconds. */
export interface ServiceTimes { requests: number[], repeats: number[] }

/**
 * Returns the largest excess of repeats over the budget in any window, negative while all keep it. The requests are those of the window,
 * the one before it or the one half a window before it, whichever has most.
 */
export function measureExcess ({ requests, repeats }: ServiceTimes, { ratio, extra, windowMs }: SharedRetryBudget): number {
  const countWithin = (times: readonly number[], from: number): number => times.filter(time => time >= from && time < from + windowMs).length
  return Math.max(...repeats.map(from => {
    const requestCount = Math.max(...[0, 0.5, 1].map(windows => countWithin(requests, from - windows * windowMs)))
    return countWithin(repeats, from) - ratio * requestCount - extra
  }))
}
