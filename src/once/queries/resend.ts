/**
 * What a send is told that finds its key claimed by another.
 */
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { Claim } from '../schema.js'

export interface Replay { status: number, type: string | undefined, body: Buffer }

const RETRY_AFTER_MS = 1_000

/** The outcome to replay, or why there is none. */
export function resolveResend (claim: Claim, hash: string): Result<Replay, Failure> {
  if (claim.hash !== hash) {
    return Err(makeFailure('not-run', 422, 'key_reused', 'the key was used with another request; that one may have run, this one did not'))
  }
  if (claim.state !== 'done') {
    return Err(makeFailure('may-have-run', 409, 'key_claimed', 'an earlier send of this request may have run; its outcome is not known', RETRY_AFTER_MS))
  }
  if (claim.body === undefined || claim.status === undefined) {
    return Err(makeFailure('ran', 409, 'already_run', `an earlier send of this request ran${formatStatus(claim)}; its response was not kept`))
  }
  return Ok({ status: claim.status, type: claim.type, body: Buffer.from(claim.body, 'base64') })
}

function formatStatus ({ status }: Claim): string {
  return status === undefined ? '' : ` with status ${status}`
}
