/**
 * The task that reports each second how many requests reached targets again.
 */
import type { Clock } from '../../core/index.js'
import type { RepeatCounts, RepeatMeter } from '../../request/index.js'

export interface RepeatReportContext { repeats: RepeatMeter, clock: Clock, onCounted: (counts: ReadonlyMap<string, RepeatCounts>) => void }

const REPORT_INTERVAL_MS = 1_000

export async function reportRepeats ({ repeats, clock, onCounted }: RepeatReportContext, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(REPORT_INTERVAL_MS, signal)
    onCounted(repeats.collectCounts())
  }
}
