/**
 * Guards against a request that is sent without a credit or uses more than one, a credit that is lost though its request reached no
 * target or kept by one that did, and a refusal from which the caller cannot tell when to come back.
 */
import type { IncomingMessage } from 'node:http'
import { afterEach, expect, test } from '@jest/globals'
import { request } from 'undici'
import { AccountTable, hashKey } from '../../src/account/index.js'
import type { Account } from '../../src/account/index.js'
import { Err, makeFailure, Ok } from '../../src/core/index.js'
import type { Failure, Result } from '../../src/core/index.js'
import { QuotaPolicy } from '../../src/quota/index.js'
import type { Credit } from '../../src/quota/index.js'
import type { Call } from '../../src/request/index.js'
import { PlatformProtocolAdapter } from '../../platform/front.js'
import { startMesh } from '../fixtures/mesh.js'
import type { Mesh, MeshOptions } from '../fixtures/mesh.js'

class CountingPolicy extends QuotaPolicy {
  acquired = 0
  returned = 0

  constructor (private readonly failure?: Failure) {
    super()
  }

  override async acquire (): Promise<Result<Credit, Failure>> {
    this.acquired += 1
    return this.failure === undefined ? Ok({ returnUnused: () => { this.returned += 1 } }) : Err(this.failure)
  }
}

/** Reads requests with keys, for routes without a host. */
class KeyAdapter extends PlatformProtocolAdapter {
  override readCall (message: IncomingMessage): Result<Call, Failure> {
    return super.readCall(message).map(({ host: _, ...call }) => call)
  }
}

const KEY = 'k1'
let mesh: Mesh
let received: number

afterEach(async () => { await mesh.close() })

async function startQuotaMesh (policy: QuotaPolicy, options: Partial<MeshOptions> = {}): Promise<void> {
  received = 0
  const target: MeshOptions['targets'][number] = (message, response) => {
    received += 1
    message.resume()
    response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']) }).end('ok')
  }
  mesh = await startMesh({ targets: [target], adapter: new KeyAdapter(() => 'desk'), ...options })
  const account: Account = { name: 'press', keyHashes: [hashKey(KEY)], ratePerSecond: 10, burst: 5 }
  mesh.context.getAccounts = () => new AccountTable(true, [account])
  mesh.context.quota = policy
}

async function send (path = '/read'): Promise<{ status: number, retryAfter: string | undefined, verdict: unknown }> {
  const headers = { host: 'desk', 'x-attempt-id': 'a1', authorization: `Token ${KEY}` }
  const response = await request(`http://${mesh.caller}${path}`, { headers })
  const text = await response.body.text()
  const verdict = text.startsWith('{') ? (JSON.parse(text) as { verdict: unknown }).verdict : undefined
  return { status: response.statusCode, retryAfter: response.headers['retry-after'] as string | undefined, verdict }
}

test('a request over the limit gets 429 as not run with Retry-After, and no target sees it', async () => {
  await startQuotaMesh(new CountingPolicy(makeFailure('not-run', 429, 'quota_exceeded', 'the account has used up its quota', 1_234)))
  expect(await send()).toEqual({ status: 429, retryAfter: '1.234', verdict: 'not-run' })
  expect(received).toBe(0)
})

/** Under an account far above its limit, refused requests would otherwise allow retries when there is least room for them. */
test.each([[true, 0], [false, 1]])('a request that is refused for its quota (%s) adds nothing to the retry budget of its service', async (isRefused, expected) => {
  const failure = makeFailure('not-run', 429, 'quota_exceeded', 'the account has used up its quota', 100)
  await startQuotaMesh(new CountingPolicy(isRefused ? failure : undefined))
  let counted = 0
  const { retry } = mesh.context
  const countCall = retry.countCall.bind(retry)
  retry.countCall = (service, isOfRun) => {
    counted += 1
    countCall(service, isOfRun)
  }
  expect((await send()).status).toBe(isRefused ? 429 : 200)
  expect(counted).toBe(expected)
})

test('without an owner that responds the request gets 503 as not run', async () => {
  await startQuotaMesh(new CountingPolicy(makeFailure('not-run', 503, 'quota_unavailable', 'no owner responds', 500)))
  expect(await send()).toEqual({ status: 503, retryAfter: '0.500', verdict: 'not-run' })
  expect(received).toBe(0)
})

test('a request that a target served keeps its credit', async () => {
  const policy = new CountingPolicy()
  await startQuotaMesh(policy)
  expect((await send()).status).toBe(200)
  expect([policy.acquired, policy.returned, received]).toEqual([1, 0, 1])
})

test('several attempts take one credit, which is kept if a target may have run the request', async () => {
  const policy = new CountingPolicy()
  let attempts = 0
  const resetFirst: MeshOptions['targets'][number] = (message, response) => {
    attempts += 1
    message.resume()
    if (attempts === 1) message.socket.resetAndDestroy()
    else response.writeHead(200, { 'x-attempt-id': String(message.headers['x-attempt-id']) }).end('ok')
  }
  await startQuotaMesh(policy, { targets: [resetFirst, resetFirst], document: { retries: { minPerSecond: 1000 } } })
  expect((await send()).status).toBe(200)
  expect([policy.acquired, policy.returned, attempts]).toEqual([1, 0, 2])
})

test.each(['remote', 'local'] as const)('a request that reached no target returns its credit: %s', async path => {
  const policy = new CountingPolicy()
  await startQuotaMesh(policy, { targets: ['127.0.0.1:1'], path })
  expect((await send()).status).toBe(503)
  expect([policy.acquired, policy.returned]).toEqual([1, 1])
})

test('a request for which there is no account asks for no credit', async () => {
  const policy = new CountingPolicy()
  await startQuotaMesh(policy)
  mesh.context.getAccounts = () => new AccountTable(false)
  expect((await send()).status).toBe(200)
  expect(policy.acquired).toBe(0)
})
