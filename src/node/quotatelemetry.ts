/**
 * Telemetry of quotas. Accounts are named only in log lines, whose number is bounded, and never in metrics.
 */
import type { StructuredLog } from '../core/index.js'
import type { Metrics } from '../metrics/index.js'
import type { QuotaResult } from '../quota/index.js'

/** Accounts with the most refused requests that are logged in each interval. */
const MAX_LOGGED_ACCOUNTS = 5

type Counts = Record<QuotaResult, number>

export class QuotaTelemetry {
  private counts = makeCounts()
  private refusedByAccount = new Map<string, number>()

  constructor (private readonly log: StructuredLog, private readonly metrics: Metrics) {}

  record (result: QuotaResult, account: string, count: number): void {
    this.metrics.count('quota_credits_total', { result }, count)
    this.counts[result] += count
    if (result === 'refused' || result === 'unavailable') this.refusedByAccount.set(account, (this.refusedByAccount.get(account) ?? 0) + count)
  }

  /** Logs the counts since the last report, if there are any. */
  report (ownedAccounts: number, skippedOwners: number): void {
    const { counts, refusedByAccount } = this
    this.counts = makeCounts()
    this.refusedByAccount = new Map()
    if (Object.values(counts).some(count => count > 0)) this.log.log('summary', 'quota_state', { ...counts, ownedAccounts, skippedOwners })
    const most = [...refusedByAccount].sort(([, left], [, right]) => right - left).slice(0, MAX_LOGGED_ACCOUNTS)
    for (const [account, requests] of most) this.log.log('summary', 'quota_refused', { account, requests })
  }
}

function makeCounts (): Counts {
  return { granted: 0, refused: 0, unavailable: 0, returned: 0, expired: 0 }
}
