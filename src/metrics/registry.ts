/**
 * Counters and HDR histograms of one process, with text output for scrapers. Histogram values
 * are integers in the unit that the name of the histogram ends with (`_ms`, `_us`).
 */
import type { Histogram } from 'hdr-histogram-js'
// The index of the package also loads readers and writers of logs, which take a tenth of the time that a node needs to start.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js'

export type Labels = Readonly<Record<string, string>>

/** One hour in a histogram of microseconds. Higher values are recorded as this value. */
const MAX_RECORDED_VALUE = 3_600_000_000
const REPORTED_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const

export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly histograms = new Map<string, Histogram>()

  count (name: string, labels: Labels = {}, by = 1): void {
    const key = formatKey(name, labels)
    this.counters.set(key, (this.counters.get(key) ?? 0) + by)
  }

  observe (name: string, value: number): void {
    const existing = this.histograms.get(name)
    const histogram = existing ?? build({ highestTrackableValue: MAX_RECORDED_VALUE, numberOfSignificantValueDigits: 3 })
    if (existing === undefined) this.histograms.set(name, histogram)
    histogram.recordValue(Math.min(MAX_RECORDED_VALUE, Math.max(0, Math.round(value))))
  }

  readCounter (name: string, labels: Labels = {}): number {
    return this.counters.get(formatKey(name, labels)) ?? 0
  }

  listCounters (): Array<[string, number]> {
    return [...this.counters]
  }

  formatText (): string {
    const lines = this.listCounters().map(([key, value]) => `${key} ${value}`)
    for (const [name, histogram] of this.histograms) lines.push(...formatHistogram(name, histogram))
    return `${lines.sort().join('\n')}\n`
  }
}

function formatKey (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${value}"`)
  return pairs.length === 0 ? `comfreyspoke_${name}` : `comfreyspoke_${name}{${pairs.join(',')}}`
}

function formatHistogram (name: string, histogram: Histogram): string[] {
  const lines = REPORTED_QUANTILES.map(quantile =>
    `comfreyspoke_${name}{quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100)}`)
  return [...lines, `comfreyspoke_${name}_max ${histogram.maxValue}`, `comfreyspoke_${name}_count ${histogram.totalCount}`]
}
