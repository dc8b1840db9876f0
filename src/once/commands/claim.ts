/**
 * Claims a key for one send of a caller.
 */
import { v4 as makeUuid } from 'uuid'
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { StoreFault } from '../../store/index.js'
import type { ClaimLedger } from '../ledger.js'
import { checkKeyTime } from '../queries/key.js'
import { formatClaimId } from '../queries/place.js'
import type { Claim, ClaimRequest } from '../schema.js'
import type { ChangeResult } from '../tasks/shard.js'
import { settleClaim } from './settle.js'

/** Proof that the claim is written. */
export interface Ticket { request: ClaimRequest, id: string, attempt: string }

/** `found`: another send has the key. */
export type Claimed = { kind: 'claimed', ticket: Ticket } | { kind: 'found', claim: Claim }

const RETRY_AFTER_MS = 1_000

export async function claimKey (ledger: ClaimLedger, request: ClaimRequest, signal: AbortSignal): Promise<Result<Claimed, Failure>> {
  const ticket = { request, id: formatClaimId(request), attempt: makeUuid() }
  const result = await pushClaim(ledger, ticket, signal)
  if (result === undefined) return Err(makeFailure('not-run', 503, 'claim_timeout', 'the claim was not written in time', RETRY_AFTER_MS))
  if (result.kind === 'failed') return Err(convertFault(result.fault))
  if (result.kind === 'found') return Ok({ kind: 'found', claim: result.claim })
  // After a pause the shard may be one that was removed and created again, without the earlier claims on the key.
  const inTime = checkKeyTime(request.timeMs, ledger.context.clock.now())
  if (inTime.ok && !signal.aborted) return Ok({ kind: 'claimed', ticket })
  settleClaim(ledger, ticket, { state: 'released' })
  return inTime.err ? inTime : Err(makeFailure('not-run', 503, 'claim_timeout', 'the request ended before it was sent on', RETRY_AFTER_MS))
}

/** Gives nothing when the signal is aborted first; a claim that is then written after all is released. */
async function pushClaim (ledger: ClaimLedger, ticket: Ticket, signal: AbortSignal): Promise<ChangeResult | undefined> {
  const { request, id, attempt } = ticket
  return await new Promise(resolve => {
    let isAbandoned = signal.aborted
    const abandon = (): void => {
      isAbandoned = true
      resolve(undefined)
    }
    if (isAbandoned) return abandon()
    signal.addEventListener('abort', abandon, { once: true })
    const claim: Claim = { attempt, node: ledger.context.node, hash: request.hash, state: 'claimed' }
    ledger.push(request, {
      change: { id, attempt, claim },
      signal,
      resolve: result => {
        signal.removeEventListener('abort', abandon)
        if (isAbandoned && result.kind === 'written') settleClaim(ledger, ticket, { state: 'released' })
        resolve(result)
      }
    })
  })
}

function convertFault ({ code, message }: StoreFault): Failure {
  if (code === 'throttled') return makeFailure('not-run', 503, 'platform_throttled', `no claim: ${message}`, RETRY_AFTER_MS)
  if (code === 'too-large') return makeFailure('not-run', 503, 'claims_full', `no claim: ${message}`, RETRY_AFTER_MS * 10)
  return makeFailure('not-run', 503, 'platform_unavailable', `no claim: ${message}`, RETRY_AFTER_MS)
}
