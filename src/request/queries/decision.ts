/**
 * The decisions on a call before its first attempt. They change nothing, so that a call can be explained by the same code that serves it.
 */
import { AccountTable, authorizeRequest } from '../../account/index.js'
import type { Account, Credential } from '../../account/index.js'
import { Err, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result } from '../../core/index.js'
import type { Route } from '../../document/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { RepeatMeter } from '../repeats.js'
import type { Call } from '../schema.js'
import { resolveRoute } from './route.js'
import type { ResolvedRoute } from './route.js'

export interface DecisionContext {
  random: Random
  inbound: { repeats: RepeatMeter }
  getSnapshot: () => Snapshot
  /** The accounts of the version in force. Absent: callers need no keys. */
  getAccounts?: () => AccountTable
  isReady: () => boolean
  /** True if a peer has a newer configuration than this node. */
  isOutdated?: () => boolean
  /**
   * Time until this node stops, defined once callers have had time to notice that it is stopping. A request that may take
   * longer is rejected.
   */
  getTimeToShutdownMs?: () => number | undefined
}

const RETRY_AFTER_MS = 200
const NO_ACCOUNTS = new AccountTable(false)
const NO_CREDENTIAL: Credential = { kind: 'none' }

export function getAccountTable ({ getAccounts }: DecisionContext): AccountTable {
  return getAccounts?.() ?? NO_ACCOUNTS
}

/** The newer configuration may allow the request, and callers do not repeat a request that is called wrong. */
export function makeOutdatedFailure ({ message }: Failure): Failure {
  return makeFailure('not-run', 503, 'outdated', `${message} in the configuration of this node, and a peer has a newer one`, RETRY_AFTER_MS)
}

export function decideRoute (context: DecisionContext, call: Call): Result<ResolvedRoute, Failure> {
  if (!context.isReady()) return Err(makeFailure('not-run', 503, 'not_ready', 'this node has no configuration yet', RETRY_AFTER_MS))
  return resolveRoute(context.getSnapshot(), call, context.random).mapErr(failure => convertOutdated(context, failure))
}

export function computeDeadline (route: Route, call: Call): number {
  return Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs)
}

/** Returns a failure if this node may stop before the deadline. */
export function checkShutdown ({ getTimeToShutdownMs }: DecisionContext, deadlineMs: number): Failure | undefined {
  if (deadlineMs <= (getTimeToShutdownMs?.() ?? Infinity)) return undefined
  return makeFailure('not-run', 503, 'stopping', 'this node stops before the deadline of the request', RETRY_AFTER_MS)
}

export function decideAccess (
  context: DecisionContext, accounts: AccountTable, call: Call, route: Route
): Result<Account | undefined, Failure> {
  const { credential = NO_CREDENTIAL, deadlineMs } = call
  const isOfRun = context.inbound.repeats.matchesRun(deadlineMs)
  return authorizeRequest(accounts, { credential, route, isOfRun }).mapErr(failure => convertOutdated(context, failure))
}

export function makeNoTargetFailure (service: string): Failure {
  return makeFailure('not-run', 503, 'no_target', `${service} has no available target`, RETRY_AFTER_MS)
}

function convertOutdated ({ isOutdated }: DecisionContext, failure: Failure): Failure {
  return isOutdated?.() === true ? makeOutdatedFailure(failure) : failure
}
