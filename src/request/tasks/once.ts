/**
 * A `once` call around its attempts: claims the key, makes the attempts only with the claim, and settles it.
 */
import { pipeline, Readable, Transform } from 'node:stream'
import { Ok } from '../../core/index.js'
import type { Clock, Failure, Result } from '../../core/index.js'
import type { Route } from '../../document/index.js'
import { claimKey, hashRequest, MAX_KEPT_BODY_BYTES, readKeyTime, resolveResend, settleClaim } from '../../once/index.js'
import type { ClaimLedger, Outcome, Replay, Ticket } from '../../once/index.js'
import type { RequestBody } from '../body.js'
import type { KeptBodies } from '../commands/keep.js'
import type { Answer } from '../exchange.js'
import { HEADERS } from '../schema.js'
import type { Call } from '../schema.js'
import type { Won } from './attempt.js'

export interface OnceContext { ledger: ClaimLedger, bodies: KeptBodies, clock: Clock }

export interface OnceCall { call: Call, route: Route, body: RequestBody, signal: AbortSignal }

export type RunAttempts = () => Promise<Result<Won, Failure>>

export async function runOnce (context: OnceContext, once: OnceCall, run: RunAttempts): Promise<Result<Won, Failure>> {
  const { call, route, body, signal } = once
  const time = readKeyTime({ key: call.key, time: call.keyTime, allowsTime: route.keyTime === 'header' }, context.clock.now())
  if (time.err) return time
  const kept = await context.bodies.keepBody(body, call.bodyBytes ?? (call.hasBody ? route.maxBodyBytes : 0), signal)
  if (kept.err) return kept
  const { bytes, release } = kept.val
  try {
    return await runClaimed(context.ledger, once, time.val, bytes, run)
  } finally {
    release()
  }
}

async function runClaimed (
  ledger: ClaimLedger, { call, signal }: OnceCall, timeMs: number, body: Buffer, run: RunAttempts
): Promise<Result<Won, Failure>> {
  const hash = hashRequest(call.method, call.path, body)
  const claimed = await claimKey(ledger, { service: call.service, key: call.key ?? '', timeMs, hash }, signal)
  if (claimed.err) return claimed
  if (claimed.val.kind === 'found') return resolveResend(claimed.val.claim, hash).map(replay => ({ answer: makeReplay(replay), finish: () => {} }))
  const { ticket } = claimed.val
  const won = await run()
  if (won.ok) return Ok({ ...won.val, answer: settleAtEnd(ledger, ticket, won.val.answer) })
  // A claim whose request may have run stays as it is: a resend is told so.
  if (won.val.verdict === 'not-run') settleClaim(ledger, ticket, { state: 'released' })
  if (won.val.verdict === 'ran') settleClaim(ledger, ticket, { state: 'done' })
  return won
}

function makeReplay ({ status, type, body }: Replay): Answer {
  return {
    statusCode: status,
    headers: {
      ...(type === undefined ? {} : { 'content-type': type }),
      ...(body.length === 0 ? {} : { 'content-length': String(body.length) }),
      [HEADERS.replayed]: '1'
    },
    body: Readable.from(body.length === 0 ? [] : [body]),
    trailers: {}
  }
}

/** A short answer is kept as it passes by. A cut one, or one of which more than type and body matter, is not. */
function settleAtEnd (ledger: ClaimLedger, ticket: Ticket, answer: Answer): Answer {
  const chunks: Buffer[] = []
  let size = 0
  let isSettled = false
  const settle = (outcome: Outcome): void => {
    if (!isSettled) settleClaim(ledger, ticket, outcome)
    isSettled = true
  }
  const passing = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      size += chunk.length
      if (size <= MAX_KEPT_BODY_BYTES) chunks.push(chunk)
      done(null, chunk)
    },
    flush: done => {
      const isKept = size <= MAX_KEPT_BODY_BYTES && answer.headers['content-encoding'] === undefined
      settle(makeOutcome(answer, isKept ? Buffer.concat(chunks) : undefined))
      done()
    }
  })
  pipeline(answer.body, passing, () => { settle(makeOutcome(answer, undefined)) })
  return { ...answer, body: passing }
}

const MAX_TYPE_CHARACTERS = 100

function makeOutcome ({ statusCode, headers }: Answer, body: Buffer | undefined): Outcome {
  const type = headers['content-type']
  if (body === undefined || (type?.length ?? 0) > MAX_TYPE_CHARACTERS) return { state: 'done', status: statusCode }
  return { state: 'done', status: statusCode, ...(type === undefined ? {} : { type }), body: body.toString('base64') }
}
