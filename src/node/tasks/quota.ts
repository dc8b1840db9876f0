/**
 * Keeps the quotas informed of the hosts, and reports the state of the quotas.
 */
import type { Clock } from '../../core/index.js'
import type { QuotaService } from '../../quota/index.js'
import type { NodeState } from '../state.js'
import type { NodeTelemetry } from '../telemetry.js'

export interface QuotaReportContext { quota: QuotaService, telemetry: NodeTelemetry, clock: Clock }

const REPORT_INTERVAL_MS = 10_000

export function followHosts (state: NodeState, quota: QuotaService, signal: AbortSignal): void {
  quota.updateHosts([...state.members.list()])
  const subscription = state.recordUpdates.stream.subscribe({
    next: ({ records }) => { quota.updateHosts(records) },
    error: () => {},
    complete: () => {}
  })
  signal.addEventListener('abort', () => { subscription.unsubscribe() }, { once: true })
}

export async function reportQuota ({ quota, telemetry, clock }: QuotaReportContext, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(REPORT_INTERVAL_MS, signal)
    telemetry.quota.report(quota.ownedCount, quota.skippedCount)
  }
}
