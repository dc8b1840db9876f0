/**
 * Sends requests for loans to other hosts. Requests to one host that are made at once are sent in one message.
 */
import { Err, makeFault } from '../../core/index.js'
import type { Clock, Fault, Result } from '../../core/index.js'
import type { LendRequest, LendResponse, Loan, LoanRequest } from '../schema.js'

/** Resolves to a fault if the peer at the address did not respond. */
export type SendLend = (address: string, request: LendRequest) => Promise<Result<LendResponse, Fault>>

interface Pending { loan: LoanRequest, resolve: (loan: Loan | undefined) => void }

export class LoanBatcher {
  private readonly pending = new Map<string, Pending[]>()

  /** `isOwner`: the requests are those of a bucket owner. */
  constructor (
    private readonly send: SendLend, private readonly clock: Clock, private readonly isOwner: boolean, private readonly timeoutMs: number
  ) {}

  /** Resolves to undefined if the host does not respond in time. */
  async fetch (address: string, loan: LoanRequest): Promise<Loan | undefined> {
    return await new Promise(resolve => {
      const batch = this.pending.get(address)
      if (batch !== undefined) {
        batch.push({ loan, resolve })
        return
      }
      this.pending.set(address, [{ loan, resolve }])
      queueMicrotask(() => { void this.sendBatch(address) })
    })
  }

  private async sendBatch (address: string): Promise<void> {
    const batch = this.pending.get(address) ?? []
    this.pending.delete(address)
    const answered = new AbortController()
    const timeout = async (): Promise<Result<LendResponse, Fault>> => {
      await this.clock.sleep(this.timeoutMs, answered.signal)
      return Err(makeFault('unreachable', `${address}: no response in time`))
    }
    const response = await Promise.race([this.send(address, { isOwner: this.isOwner, loans: batch.map(({ loan }) => loan) }), timeout()])
    answered.abort()
    batch.forEach(({ resolve }, index) => { resolve(response.ok ? response.val.loans[index] : undefined) })
  }
}
