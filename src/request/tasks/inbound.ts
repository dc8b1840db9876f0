/**
 * The task of one request that another node sent for a target of this host.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { finished } from 'node:stream'
import { json } from 'node:stream/consumers'
import { deriveDeadline, Err, failureSchema, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { routeClassSchema } from '../../document/index.js'
import { writeAnswer, writeFailure } from '../answer.js'
import type { SuspectTable } from '../../suspect/index.js'
import type { LocalTargets } from '../commands/admit.js'
import { TARGET_CRASHED } from '../commands/crash.js'
import type { CrashWatch, Run } from '../commands/crash.js'
import { receiveFingerprint } from '../commands/suspect.js'
import type { Answer, Exchanger, Outgoing } from '../exchange.js'
import { filterHeaders } from '../headers.js'
import type { Permit } from '../slots.js'
import { HEADERS } from '../schema.js'

export interface LocalRun { target: string, routeClass: string, waitMs: number, outgoing: Omit<Outgoing, 'address'> }

export interface InboundContext { local: LocalTargets, exchanger: Exchanger, crashes: CrashWatch, suspects: SuspectTable }

export interface Held { answer: Answer, permit: Permit }

/** Runs a request on a target of this host. The permit is to be released when the answer has been passed on. */
export async function runLocal ({ local, exchanger, crashes, suspects }: InboundContext, run: LocalRun): Promise<Result<Held, Failure>> {
  const routeClass = routeClassSchema.catch('normal').parse(run.routeClass)
  const admitted = await local.admit({ target: run.target, routeClass, waitMs: run.waitMs, signal: run.outgoing.signal })
  if (admitted.err) return admitted
  const { announcement, permit } = admitted.val
  const watched = crashes.begin(run.target, receiveFingerprint(suspects, run.outgoing.headers))
  if (watched.err) {
    permit.release()
    return watched
  }
  const sent = await exchanger.send({ ...run.outgoing, address: announcement.address })
  if (sent.ok) {
    followAnswer(sent.val, watched.val, announcement.address)
    return sent.map(answer => ({ answer, permit }))
  }
  permit.release()
  if (sent.val.verdict === 'not-run') {
    watched.val.drop()
    return sent
  }
  const isCrashed = await watched.val.lose(announcement.address)
  return isCrashed ? Err({ ...sent.val, code: TARGET_CRASHED, message: `target ${run.target} crashed with the request in flight` }) : sent
}

/** A target can crash in the middle of its answer. */
function followAnswer ({ body }: Answer, run: Run, address: string): void {
  finished(body, error => {
    if (error === undefined || error === null) run.finish()
    else void run.lose(address)
  })
}

export async function serveInbound (context: InboundContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const request = String(message.headers[HEADERS.request] ?? '')
  const left = new AbortController()
  response.on('close', () => { left.abort() })
  const waitMs = Number(message.headers[HEADERS.deadline] ?? 0)
  const signal = deriveDeadline(left.signal, Math.max(1, waitMs))
  const held = await runLocal(context, {
    target: String(message.headers[HEADERS.target] ?? ''),
    routeClass: String(message.headers[HEADERS.routeClass] ?? ''),
    waitMs,
    outgoing: { method: message.method ?? 'GET', path: message.url ?? '/', headers: filterHeaders(message.headers), body: readBody(message), signal }
  })
  if (held.err) {
    writeFailure(response, held.val, request)
    return
  }
  await writeAnswer(response, held.val.answer, request)
  held.val.permit.release()
}

export function readBody (message: IncomingMessage): IncomingMessage | undefined {
  const length = Number(message.headers['content-length'] ?? 0)
  return length > 0 || message.headers['transfer-encoding'] !== undefined ? message : undefined
}

/** A failure that the last node reported, as the first node sees it. */
export async function readFailure (answer: Answer): Promise<Result<Answer, Failure>> {
  try {
    return Err(failureSchema.parse(await json(answer.body)))
  } catch {
    return Err(makeFailure('may-have-run', 502, 'bad_answer', 'the node of the target gave an answer that does not parse'))
  }
}
