/**
 * Guards against an explanation that differs from what the request path does on the same state, that sends a request or changes what the
 * next request meets, or from which a key could be learned.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from '@jest/globals'
import { Agent, request } from 'undici'
import { AccountTable, hashKey } from '../src/account/index.js'
import { SeededRandom, SystemClock } from '../src/core/index.js'
import { MsgpackCodec, startPeerServer } from '../src/peer/index.js'
import { explainRequest, LeastDelayPicker } from '../src/request/index.js'
import type { ExplainContext, ExplainRequest } from '../src/request/index.js'
import { PlatformProtocolAdapter } from '../platform/front.js'
import { PlatformServer } from '../standins/platform/server.js'
import { findFreeAddress } from './fixtures/address.js'
import { makeClock } from './fixtures/clock.js'
import { startMesh } from './fixtures/mesh.js'
import type { Mesh, MeshOptions } from './fixtures/mesh.js'
import { makeTarget } from './fixtures/target.js'

const KEY = 'a-secret-key'
const TOOL_TIMEOUT_MS = 30_000
const HOST = 'desk.example'
const ROUTES = {
  open: { methods: ['GET'], path: '/open', kind: 'idempotent', deadlineMs: 5_000, public: true, host: HOST },
  read: { methods: ['GET'], path: '/read', kind: 'idempotent', deadlineMs: 5_000, host: HOST },
  write: { methods: ['POST'], path: '/write', kind: 'plain', deadlineMs: 5_000, maxBodyBytes: 100, host: HOST },
  shut: { methods: ['GET'], path: '/shut', kind: 'idempotent', deadlineMs: 5_000, unavailable: true, host: HOST }
}

const agent = new Agent()
let mesh: Mesh | undefined

afterEach(async () => {
  await mesh?.close()
  mesh = undefined
})

interface Setup { mesh: Mesh, context: ExplainContext, served: string[] }

async function startNode (names: readonly string[], path: 'local' | 'remote' = 'remote'): Promise<Setup> {
  const served: string[] = []
  const targets: MeshOptions['targets'] = names.map(name => (message, response) => {
    served.push(name)
    response.setHeader('x-attempt-id', String(message.headers['x-attempt-id'] ?? ''))
    response.end('ok')
  })
  const started = await startMesh({ targets, path, adapter: new PlatformProtocolAdapter(() => 'desk'), document: { routes: ROUTES } })
  mesh = started
  const { context } = started
  context.picker = new LeastDelayPicker({ host: 'first', zone: 'a', region: 'r' }, new SystemClock(), new SeededRandom(1))
  const accounts = new AccountTable(true, [{ name: 'press', keyHashes: [hashKey(KEY)], class: 'critical', ratePerSecond: 0, burst: 0 }])
  context.getAccounts = () => accounts
  // A call without a key counts as one of a run for a time after the start.
  context.inbound.repeats.matchesRun = () => false
  return { mesh: started, context, served }
}

interface Sent { method: string, path: string, host: string, key?: string, bytes?: number }

function makeQuestion ({ method, path, host, key, bytes = 0 }: Sent): ExplainRequest {
  return { method, path, host, bodyBytes: bytes, ...key === undefined ? {} : { keyHash: hashKey(key) } }
}

async function send ({ caller }: Mesh, { method, path, host, key, bytes = 0 }: Sent): Promise<{ status: number, code: string | undefined }> {
  const headers = { host, 'x-attempt-id': 'a1', ...key === undefined ? {} : { authorization: `Token ${key}` } }
  const response = await request(`http://${caller}${path}`, { dispatcher: agent, method, headers, body: bytes === 0 ? null : 'x'.repeat(bytes) })
  const text = await response.body.text()
  return { status: response.statusCode, code: text === 'ok' ? undefined : (JSON.parse(text) as { code: string }).code }
}

const CASES: Array<[string, Sent]> = [
  ['a key of an account', { method: 'GET', path: '/read', host: HOST, key: KEY }],
  ['no key on a public route', { method: 'GET', path: '/open', host: HOST }],
  ['no key', { method: 'GET', path: '/read', host: HOST }],
  ['a key of no account', { method: 'GET', path: '/read', host: HOST, key: 'other' }],
  ['a key of no account on a public route', { method: 'GET', path: '/open', host: HOST, key: 'other' }],
  ['another path', { method: 'GET', path: '/nothing', host: HOST, key: KEY }],
  ['another host', { method: 'GET', path: '/read', host: 'other.example', key: KEY }],
  ['another method', { method: 'DELETE', path: '/read', host: HOST, key: KEY }],
  ['a body', { method: 'POST', path: '/write', host: HOST, key: KEY, bytes: 100 }],
  ['a body that is too long', { method: 'POST', path: '/write', host: HOST, key: KEY, bytes: 101 }],
  ['an unavailable route', { method: 'GET', path: '/shut', host: HOST, key: KEY }]
]

test.each(CASES)('a request with %s is explained as it is served', async (_name, sent) => {
  const { mesh: { caller }, context, served } = await startNode(['t-0', 't-1'])
  const explained = explainRequest(context, makeQuestion(sent))
  expect(served).toEqual([])
  const { status, code } = await send({ caller } as Mesh, sent)
  if (explained.action.kind === 'send') {
    expect({ status, code }).toEqual({ status: 200, code: undefined })
    expect(explained.action.targets.some(id => id.endsWith(served[0] ?? ''))).toBe(true)
    expect(explained.account?.name).toBe(sent.key === undefined ? undefined : 'press')
  } else {
    expect({ status, code }).toEqual({ status: explained.action.failure.status, code: explained.action.failure.code })
    expect(served).toEqual([])
  }
})

test.each([
  ['no configuration', { isReady: () => false }],
  ['a node that stops', { getTimeToShutdownMs: () => 10 }],
  ['a newer version at a peer', { isOutdated: () => true }]
])('a refusal for %s is explained as it is served', async (_name, change) => {
  const { mesh: started, context } = await startNode(['t-0'])
  Object.assign(context, change)
  for (const [, sent] of CASES) {
    const { action } = explainRequest(context, makeQuestion(sent))
    const { status, code } = await send(started, sent)
    expect(action.kind === 'send' ? { status: 200, code: undefined } : { status: action.failure.status, code: action.failure.code }).toEqual({ status, code })
  }
})

test('without targets the request is refused, by the explanation as by the path', async () => {
  const { mesh: started, context } = await startNode([])
  const sent = { method: 'GET', path: '/read', host: HOST, key: KEY }
  expect(explainRequest(context, makeQuestion(sent)).action).toMatchObject({ kind: 'refuse', failure: { status: 503, code: 'no_target' } })
  expect(await send(started, sent)).toEqual({ status: 503, code: 'no_target' })
})

test('an explanation has neither the key nor its hash, and keeps places for the quota and the rollout', async () => {
  const { context } = await startNode(['t-0'])
  const withParts = { ...context, explainQuota: () => ({ credits: 3 }), explainRollout: () => ({ phase: 'canary' }) }
  const explained = explainRequest(withParts, makeQuestion({ method: 'GET', path: '/read', host: HOST, key: KEY }))
  expect(explained).toMatchObject({ account: { name: 'press', class: 'critical' }, quota: { credits: 3 }, rollout: { phase: 'canary' } })
  expect(JSON.stringify(explained)).not.toContain(KEY)
  expect(JSON.stringify(explained)).not.toContain(hashKey(KEY))
})

interface Run { code: number, stdout: string, stderr: string }

async function runTool (args: string[], input = ''): Promise<Run> {
  return await new Promise(resolve => {
    const child = execFile(process.execPath, ['dist/src/bin/tool.js', 'explain', ...args], { env: { PATH: process.env.PATH } }, (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr })
    })
    child.stdin?.end(input)
  })
}

const fail = (): never => { throw new Error('not called in this test') }

async function serveExplanations (context: ExplainContext): Promise<{ peer: string, stop: () => void }> {
  const peer = await findFreeAddress()
  const server = await startPeerServer(peer, new MsgpackCodec(), {
    exchange: fail, status: fail, timeline: fail, drain: fail, explain: asked => ({ node: 'first', zone: 'a', version: 7, ...explainRequest(context, asked) })
  })
  return { peer, stop: () => { server.forceShutdown() } }
}

test('the command prints the answer of a node, with a key from standard input or a file', async () => {
  const { mesh: started, context } = await startNode(['t-0', 't-1'])
  const { peer, stop } = await serveExplanations(context)
  const store = new PlatformServer()
  const url = await store.listen(0)
  const folder = await mkdtemp(join(tmpdir(), 'comfreyspoke-explain-'))
  try {
    const file = join(folder, 'key')
    await writeFile(file, `${KEY}\n`)
    const value = { host: 'first', zone: 'a', region: 'r', inbound: peer, peer, admin: peer, incarnation: 1, sequence: 1, state: 'serving', targets: [] }
    store.objects.write({ kind: 'host', name: 'first', expected: 0, value }).unwrap()
    const flags = ['--url-host', HOST, '--path', '/read']
    const question = makeQuestion({ method: 'GET', path: '/read', host: HOST, key: KEY })
    const expected = { node: 'first', zone: 'a', version: 7, ...explainRequest(context, question) }
    const runs = [
      await runTool([...flags, '--node', peer, '--key-file', file, '--json']),
      await runTool([...flags, '--node', peer, '--key-file', '-', '--json'], KEY),
      await runTool([...flags, '--zone', 'a', '--platform', url, '--key-file', file, '--json'])
    ]
    const answer = withoutTimes(expected)
    for (const { code, stdout } of runs) expect({ code, answer: JSON.parse(stdout) as unknown }).toMatchObject({ code: 0, answer })
    const text = await runTool([...flags, '--node', peer, '--key-file', file])
    expect(text.stdout).toContain('first in a, configuration 7: send to host-')
    expect(text.stdout).toContain('account: press, class critical')
    const refused = await runTool([...flags, '--node', peer])
    expect(refused).toMatchObject({ code: 0, stdout: expect.stringContaining('refuse with 401 no_key (not-run)') as unknown as string })
    for (const { stdout, stderr } of [...runs, text]) for (const secret of [KEY, hashKey(KEY)]) expect(stdout + stderr).not.toContain(secret)
    expect(started.failures).toEqual([])
  } finally {
    stop()
    await store.close()
    await rm(folder, { recursive: true })
  }
}, TOOL_TIMEOUT_MS)

/** A new target counts as warming up at the time of each question. */
function withoutTimes ({ candidates, ...rest }: { candidates?: readonly object[] | undefined }): unknown {
  const stable = candidates?.map(candidate => ({ ...candidate, delayMs: expect.any(Number) as unknown, parts: expect.anything() as unknown }))
  return { ...rest, ...stable === undefined ? {} : { candidates: stable } }
}

test.each([
  [['--node', '127.0.0.1:1'], 2, '--url-host is missing'],
  [['--url-host', HOST], 2, 'one of --node and --zone'],
  [['--url-host', HOST, '--node', '127.0.0.1:1', '--zone', 'a'], 2, 'one of --node and --zone'],
  [['--url-host', HOST, '--node', '127.0.0.1:1', '--bytes', 'many'], 2, '--bytes is not a whole number'],
  [['--url-host', HOST, '--node', '127.0.0.1:1', '--key-file', '/nowhere'], 2, '--key-file'],
  [['--url-host', HOST, '--node', '127.0.0.1:1', '--key', KEY], 2, '--key'],
  [['--url-host', HOST, '--node', '127.0.0.1:1'], 4, 'unreachable']
])('the command with %j ends with exit code %i', async (args, expected, message) => {
  const { code, stdout, stderr } = await runTool(args)
  expect({ code, stdout }).toEqual({ code: expected, stdout: '' })
  expect(stderr).toContain(message)
})

const PLACE = { host: 'h0', zone: 'a', region: 'r' }
const TARGETS = [
  makeTarget({ host: 'h0' }), ...['h1', 'h2', 'h3', 'h4'].map(host => makeTarget({ host })),
  ...['h5', 'h6'].map(host => makeTarget({ host, zone: 'b' })), makeTarget({ host: 'h7', zone: 'c', region: 's' })
]
const STEPS = 4_000

/** Random loads, failures and refusals, so that each state of a target occurs. */
test('each pick is one of the candidates that were explained right before it, and the explanation changes no pick', () => {
  const clock = makeClock()
  const choose = new SeededRandom(7)
  const [explaining, plain] = [1, 2].map(() => new LeastDelayPicker(PLACE, clock, new SeededRandom(3))) as [LeastDelayPicker, LeastDelayPicker]
  const seen = new Set<string>()
  for (let step = 0; step < STEPS; step += 1) {
    const localLoad = { used: choose.pickIndex(8), waiting: choose.pickIndex(4), slots: 6, freeInMs: 0 }
    const asked = {
      targets: TARGETS, tried: new Set<string>(), needsFreeSlot: false, zones: 'same-first' as const, bytes: choose.pickIndex(20_000), measureLocalLoad: () => localLoad
    }
    const ratings = explaining.explain(asked)
    const picked = explaining.pick(asked)
    expect(plain.pick(asked)).toBe(picked)
    const rating = ratings.find(({ target }) => target === picked)
    expect(rating?.isCandidate).toBe(true)
    seen.add(rating?.state ?? '')
    if (picked === undefined) throw new Error('no target was picked')
    const outcome = (['answered', 'answered', 'failed', 'refused'] as const)[choose.pickIndex(4)] ?? 'answered'
    const code = choose.pickIndex(2) === 0 ? 'not_connected' : ''
    const load = { used: choose.pickIndex(7), waiting: choose.pickIndex(9), slots: 6, freeInMs: 0 }
    const latencyMs = 20 + choose.pickIndex(400)
    for (const picker of [explaining, plain]) {
      picker.beginAttempt(picked)
      picker.recordLoad(picked, load)
      picker.endAttempt(picked, latencyMs, outcome, outcome === 'answered' ? '' : code)
    }
    clock.advance(choose.pickIndex(20))
  }
  expect([...seen].sort()).toEqual(['available', 'backing-off', 'unreachable'])
})
