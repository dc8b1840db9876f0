/**
 * Decides whether a request may count against the limit of its account. The request path asks once for each request, before its first
 * attempt.
 */
import type { Account } from '../account/index.js'
import type { Failure, Result } from '../core/index.js'

/** A credit that a request uses. */
export interface Credit {
  /** Gives the credit back if the request reached no target. */
  returnUnused: () => void
}

export abstract class QuotaPolicy {
  /** Resolves to a failure with verdict not-run if the account has no credit. */
  abstract acquire (account: Account): Promise<Result<Credit, Failure>>
}
