/**
 * Decides whether a request may use a route, and for which account it counts.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { Route } from '../../document/index.js'
import type { Account, Credential } from '../schema.js'
import type { AccountTable } from '../table.js'

export interface AccessRequest {
  credential: Credential
  route: Pick<Route, 'public'>
  /** A run on this host may have made the request. Targets have no keys. */
  isOfRun: boolean
}

/** Returns undefined for a request that counts for no account. */
export function authorizeRequest (accounts: AccountTable, { credential, route, isOfRun }: AccessRequest): Result<Account | undefined, Failure> {
  if (!accounts.isInForce) return Ok(undefined)
  if (credential.kind === 'invalid') return Err(makeFailure('not-run', 401, 'bad_credentials', 'the request has no credentials that can be read'))
  if (credential.kind === 'none') {
    if (route.public === true || isOfRun) return Ok(undefined)
    return Err(makeFailure('not-run', 401, 'no_key', 'the request has no key, and its route is not public'))
  }
  const account = accounts.find(credential.hash)
  return account === undefined ? Err(makeFailure('not-run', 401, 'unknown_key', 'the key belongs to no account')) : Ok(account)
}
