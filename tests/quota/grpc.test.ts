/**
 * Guards against credits that do not cross the connection between two nodes, more than one message for several accounts at once, and a
 * node without quotas that serves them.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { Server } from '@grpc/grpc-js'
import { SystemClock, SystemRandom } from '../../src/core/index.js'
import { Dialer, MsgpackCodec, PeerClient, startPeerServer } from '../../src/peer/index.js'
import { QuotaService } from '../../src/quota/index.js'
import type { LendRequest } from '../../src/quota/index.js'
import { findFreeAddress } from '../fixtures/address.js'
import { BOUNDS, makeAccount } from '../fixtures/quotafleet.js'
import { makeRecord } from '../fixtures/records.js'

const ACCOUNTS = ['one', 'two', 'three', 'four', 'five', 'six'].map(name => makeAccount(name, 40, 40))
const ZONES = new Map([['a', 'r']])
const closers: Array<() => void> = []
const stopped = new AbortController()

afterEach(() => {
  stopped.abort()
  for (const close of closers.splice(0)) close()
})

interface TestNode { quota: QuotaService, requests: LendRequest[], results: string[], server: Server }

async function startNode (host: string, peer: string, hasQuotas = true): Promise<TestNode> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const [requests, results]: [LendRequest[], string[]] = [[], []]
  const quota = new QuotaService({
    location: { host, zone: 'a', region: 'r' },
    settings: { ...BOUNDS, zones: ZONES },
    clock: new SystemClock(),
    random: new SystemRandom(),
    send: async (address, request) => await client.lend(address, request),
    getAccounts: () => ACCOUNTS,
    onResult: result => { results.push(result) }
  })
  const fail = (): never => { throw new Error('not called in this test') }
  const lend = async (request: LendRequest) => {
    requests.push(request)
    return await quota.lend(request)
  }
  const handlers = { exchange: fail, status: fail, timeline: fail, explain: fail, drain: fail, ...hasQuotas ? { lend } : {} }
  const server = await startPeerServer(peer, new MsgpackCodec(), handlers)
  closers.push(() => {
    client.close()
    server.forceShutdown()
  })
  return { quota, requests, results, server }
}

async function startTwo (hasQuotas = true): Promise<[TestNode, TestNode]> {
  const addresses = [await findFreeAddress(), await findFreeAddress()] as const
  const nodes: [TestNode, TestNode] = [await startNode('h1', addresses[0]), await startNode('h2', addresses[1], hasQuotas)]
  for (const { quota } of nodes) {
    quota.updateHosts([makeRecord('h1', { peer: addresses[0] }), makeRecord('h2', { peer: addresses[1] })])
    quota.beginOwning(true)
    void quota.run(stopped.signal)
  }
  if (hasQuotas) await awaitCredit(nodes[0].quota)
  return nodes
}

/** The first connection to a node may take longer than a request waits for credits. */
async function awaitCredit (quota: QuotaService): Promise<void> {
  const clock = new SystemClock()
  for (const account of ACCOUNTS) {
    for (let round = 0; round < 100 && (await quota.policy.acquire(account)).err; round += 1) await clock.sleep(100)
  }
}

test('two nodes share the buckets of several accounts, with one message for requests that come at once', async () => {
  const [first, second] = await startTwo()
  await new SystemClock().sleep(1_000)
  second.requests.length = 0
  const outcomes = await Promise.all(ACCOUNTS.map(async account => await first.quota.policy.acquire(account)))
  expect(outcomes.flatMap(outcome => outcome.err ? [outcome.val] : [])).toEqual([])
  const remote = ACCOUNTS.filter(({ name }) => second.quota.isOwner(name)).map(({ name }) => name)
  expect(remote.length).toBeGreaterThan(0)
  expect(remote.length).toBeLessThan(ACCOUNTS.length)
  expect(second.requests).toEqual([{ isOwner: false, loans: remote.map(account => ({ account, credits: 1 })) }])
  expect(first.requests).toEqual([])
})

test('over the limit both nodes refuse with a time to come back, and nobody is asked during it', async () => {
  const [first, second] = await startTwo()
  await new SystemClock().sleep(1_000)
  const [account] = ACCOUNTS.filter(({ name }) => second.quota.isOwner(name))
  if (account === undefined) throw new Error('no account')
  const outcomes = await Promise.all(Array.from({ length: 200 }, async () => await first.quota.policy.acquire(account)))
  const granted = outcomes.filter(outcome => outcome.ok).length
  expect(granted).toBeGreaterThan(30)
  expect(granted).toBeLessThanOrEqual(62)
  const refused = outcomes.flatMap(outcome => outcome.err ? [outcome.val] : [])
  for (const failure of refused) expect(failure).toMatchObject({ verdict: 'not-run', status: 429, code: 'quota_exceeded' })
  expect(Math.min(...refused.map(({ retryAfterMs }) => retryAfterMs ?? 0))).toBeGreaterThan(0)
  const messages = second.requests.length
  expect((await first.quota.policy.acquire(account)).err).toBe(true)
  expect(second.requests.length).toBe(messages)
})

test('an owner that serves no quotas or does not respond is skipped, and the request gets 503 as not run', async () => {
  const [first, second] = await startTwo(false)
  const [account] = ACCOUNTS.filter(({ name }) => second.quota.isOwner(name))
  if (account === undefined) throw new Error('no account')
  const outcome = await first.quota.policy.acquire(account)
  expect(outcome.err && outcome.val).toMatchObject({ verdict: 'not-run', status: 503, code: 'quota_unavailable' })
  second.server.forceShutdown()
  expect((await first.quota.policy.acquire(account)).err).toBe(true)
})
