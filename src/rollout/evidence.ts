/**
 * Judges a new version by its responses against those of the earlier version at the same time. The abstract class leaves open by which
 * test; the coordinator only uses its judgement.
 *
 * SequentialEvidence: the null hypothesis is that the rate of bad responses of the new version is at most `base`, an upper bound of the
 * rate of the earlier one. The evidence is the mean of the likelihood ratios of 40 higher rates to `base`, a martingale under the
 * hypothesis, so by the inequality of Ville it exceeds 1/a at any time with a probability of at most a, however often it is looked at. Each
 * route is tested for failures and for slow responses, and all routes together, with a = FALSE_ALARM_RATE divided by the number of tests.
 * The bound `base` holds for the rate of the earlier version with a probability of about 0.977 (two standard deviations).
 */
import { computeBinEnd, makeRouteCounts, sumCounts } from './counts.js'
import type { RouteCounts, VersionCounts } from './schema.js'

/** `suspected`: not enough to call the version bad, and too much to complete its rollout while there is time. */
export type Judgement = 'bad' | 'suspected' | 'unknown' | 'good'

export interface Evidence { judgement: Judgement, bad: number, responses: number, reason: string }

export abstract class VersionEvidence {
  /** `isAlone`: the earlier version gets no requests any more, so the counts of the two are not of the same time. */
  abstract measure (routes: ReadonlyMap<string, RouteCounts>, isAlone: boolean): Evidence
}

/** Probability that a version that is as good as the earlier one is called bad during a rollout. */
export const FALSE_ALARM_RATE = 0.0001
/** The evidence from which a version is suspected. */
const SUSPICION = 100
/** Fewer bad responses may be those of one crash of a target, which ends all that it runs. */
const MIN_BAD = 12
/** A response is slow if it takes this many times the median of the earlier version. A target may be half as fast as the median one. */
const SLOW_FACTOR = 2
/** Responses of the earlier version that show its median. */
const MIN_EARLIER = 30
/** Responses of the new version from which it may be called good. */
const MIN_GOOD = 60
const MIN_FAILURE_BASE = 0.01
/** The new targets that get work may be on the slowest hosts, so a quarter of their responses may be slow. */
const MIN_SLOW_BASE = 0.25
const SLOW_BASE_FACTOR = 1.5
const MAX_BASE = 0.9
/** Load or a fault elsewhere may have begun since the earlier version was closed. */
const MIN_BASE_ALONE = 0.5
const ALTERNATIVES = 40

interface Sample { bad: number, responses: number, base: number, reason: string }

export class SequentialEvidence extends VersionEvidence {
  override measure (routes: ReadonlyMap<string, RouteCounts>, isAlone = false): Evidence {
    const all = sumCounts([...routes.values()].map(counts => ({ all: counts }))).get('all') ?? makeRouteCounts()
    const ofRoutes = [...routes].flatMap(([route, counts]) => [makeFailureSample(route, counts), ...makeSlowSample(route, counts)])
    const samples = [makeFailureSample('all routes', all), ...ofRoutes]
      .map(sample => isAlone ? { ...sample, base: Math.max(sample.base, MIN_BASE_ALONE) } : sample)
    const tested = samples.map(sample => ({ ...sample, weight: computeLogEvidence(sample) - Math.log(samples.length) }))
    const strongest = tested.reduce((left, right) => right.weight > left.weight ? right : left)
    const bad = all.next.failures + samples.reduce((sum, sample) => sum + (sample.reason.startsWith('slow') ? sample.bad : 0), 0)
    const { responses } = all.next
    const { weight, reason } = strongest
    const isBad = weight >= -Math.log(FALSE_ALARM_RATE) && strongest.bad >= MIN_BAD
    const judgement = isBad ? 'bad' : weight >= Math.log(SUSPICION) ? 'suspected' : responses >= MIN_GOOD ? 'good' : 'unknown'
    return { judgement, bad, responses, reason }
  }
}

function makeFailureSample (route: string, { earlier, next }: RouteCounts): Sample {
  const base = computeRateBound(earlier.failures, earlier.responses)
  return { bad: next.failures, responses: next.responses, base: computeBase(base, MIN_FAILURE_BASE), reason: `failures of ${route}` }
}

/** Failures have no time, so only the successful responses of a version are compared. */
function makeSlowSample (route: string, { earlier, next }: RouteCounts): Sample[] {
  const measured = sumTimes(earlier)
  if (measured < MIN_EARLIER) return []
  const limitMs = findMedian(earlier, measured) * SLOW_FACTOR
  const base = computeRateBound(countSlow(earlier, limitMs), measured) * SLOW_BASE_FACTOR
  return [{ bad: countSlow(next, limitMs), responses: sumTimes(next), base: computeBase(base, MIN_SLOW_BASE), reason: `slow responses of ${route}` }]
}

function computeBase (base: number, minimum: number): number {
  return Math.min(MAX_BASE, Math.max(minimum, base))
}

/** Returns an upper bound of the rate, two standard deviations above the rate that was seen. */
function computeRateBound (count: number, total: number): number {
  return (count + 1 + 2 * Math.sqrt(count + 1)) / (total + 1)
}

/** Returns the logarithm of the mean likelihood ratio of the higher rates. */
function computeLogEvidence ({ bad, responses, base }: Sample): number {
  const ratios = Array.from({ length: ALTERNATIVES }, (_, index) => {
    const rate = base + (1 - base) * ((index + 0.5) / ALTERNATIVES) ** 2
    return bad * Math.log(rate / base) + (responses - bad) * Math.log((1 - rate) / (1 - base))
  })
  const largest = Math.max(...ratios)
  return largest + Math.log(ratios.reduce((sum, ratio) => sum + Math.exp(ratio - largest), 0) / ALTERNATIVES)
}

function sumTimes ({ times }: VersionCounts): number {
  return Object.values(times).reduce((sum, count) => sum + count, 0)
}

function countSlow ({ times }: VersionCounts, limitMs: number): number {
  return Object.entries(times).reduce((sum, [bin, count]) => sum + (computeBinEnd(Number(bin) - 1) >= limitMs ? count : 0), 0)
}

function findMedian ({ times }: VersionCounts, total: number): number {
  let remaining = total / 2
  for (const [bin, count] of Object.entries(times).sort(([left], [right]) => Number(left) - Number(right))) {
    remaining -= count
    if (remaining <= 0) return computeBinEnd(Number(bin))
  }
  return Infinity
}
