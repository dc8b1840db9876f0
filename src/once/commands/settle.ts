/**
 * Records what became of a claim, best effort: a claim that is never settled means that the request may have run.
 */
import type { ClaimLedger } from '../ledger.js'
import type { Outcome } from '../schema.js'
import type { Ticket } from './claim.js'

/** `released` only when no attempt under the ticket can have run, and none follows. */
export function settleClaim (ledger: ClaimLedger, { request, id, attempt }: Ticket, outcome: Outcome): void {
  ledger.push(request, { change: { id, attempt, outcome }, resolve: () => {} })
}
