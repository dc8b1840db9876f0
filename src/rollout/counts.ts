/**
 * Counts of responses by route, version and response time. A time is counted in a bin, so that counts of many nodes can be added.
 */
import type { RouteCounts, VersionCounts } from './schema.js'

/** Bins for each doubling of the time. The bounds of a bin differ by a factor of 1.19. */
const BINS_PER_DOUBLING = 4
/** Later routes are counted together, so that a report has a bounded size. */
const MAX_ROUTES = 12
const OTHER_ROUTES = 'other'

export type CountedVersion = keyof RouteCounts

export function makeVersionCounts (): VersionCounts {
  return { responses: 0, failures: 0, times: {} }
}

export function makeRouteCounts (): RouteCounts {
  return { earlier: makeVersionCounts(), next: makeVersionCounts() }
}

/** Returns the longest time of a bin. */
export function computeBinEnd (bin: number): number {
  return 2 ** ((bin + 1) / BINS_PER_DOUBLING)
}

export function computeBin (ms: number): number {
  return Math.max(0, Math.floor(Math.log2(Math.max(1, ms)) * BINS_PER_DOUBLING))
}

export class ResponseCounts {
  private readonly routes = new Map<string, RouteCounts>()

  record (route: string, version: CountedVersion, isFailure: boolean, elapsedMs: number | undefined): void {
    const counts = this.getRoute(route)[version]
    counts.responses += 1
    if (isFailure) counts.failures += 1
    else if (elapsedMs !== undefined) addTimes(counts, { [computeBin(elapsedMs)]: 1 })
  }

  list (): Record<string, RouteCounts> {
    return Object.fromEntries(this.routes)
  }

  private getRoute (name: string): RouteCounts {
    const key = this.routes.has(name) || this.routes.size < MAX_ROUTES ? name : OTHER_ROUTES
    const existing = this.routes.get(key)
    if (existing !== undefined) return existing
    const counts = makeRouteCounts()
    this.routes.set(key, counts)
    return counts
  }
}

/** Adds the counts of several nodes by route. */
export function sumCounts (parts: Iterable<Record<string, RouteCounts>>): Map<string, RouteCounts> {
  const sums = new Map<string, RouteCounts>()
  for (const part of parts) {
    for (const [route, counts] of Object.entries(part)) {
      const sum = sums.get(route) ?? makeRouteCounts()
      sums.set(route, sum)
      addVersion(sum.earlier, counts.earlier)
      addVersion(sum.next, counts.next)
    }
  }
  return sums
}

function addVersion (sum: VersionCounts, { responses, failures, times }: VersionCounts): void {
  sum.responses += responses
  sum.failures += failures
  addTimes(sum, times)
}

function addTimes (sum: VersionCounts, times: Readonly<Record<string, number>>): void {
  for (const [bin, count] of Object.entries(times)) sum.times[bin] = (sum.times[bin] ?? 0) + count
}
