/**
 * Guards against a request on a `once` route that runs twice, and against an answer `not-run` for a
 * send that ran: lost answers of the platform, outages, crashes and pauses at every step, resends to
 * other nodes, keys at the edges of buckets and of their age.
 */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { BUCKET_MS, KEY_MAX_AGE_MS } from '../../src/once/index.js'
import { makeClaimants, makeKey } from '../fixtures/claimants.js'
import type { Claimants, Fate, Plan, Send } from '../fixtures/claimants.js'
import { readProofParameters } from '../fixtures/proof.js'

const START_MS = 180_000_000 * BUCKET_MS
const OFFSETS_MS = [0, 1_800_000, -240_000]
const HOUR_MS = 3_600_000
/** Around the edge of a bucket, and one key that is nearly too old. */
const KEYS = [START_MS - 1, START_MS, START_MS + 1, START_MS - KEY_MAX_AGE_MS + 2_000].map(makeKey)

type Real = Claimants

/** The oracle is in the sends themselves; the model only numbers them. */
interface Model { sends: number }

class Action implements fc.AsyncCommand<Model, Real> {
  constructor (private readonly label: string, private readonly act: (real: Real) => void | Promise<void>) {}

  check (): boolean {
    return true
  }

  async run (_model: Model, real: Real): Promise<void> {
    await this.act(real)
    await real.flush()
    checkSends(real)
  }

  toString (): string {
    return this.label
  }
}

function makeAction<T> (name: string, values: fc.Arbitrary<T>, act: (real: Real, value: T) => void | Promise<void>): fc.Arbitrary<Action> {
  return values.map(value => new Action(`${name}(${JSON.stringify(value)})`, real => act(real, value)))
}

const anyProcess = fc.nat(OFFSETS_MS.length - 1)
const anyKey = fc.constantFrom(...KEYS, KEYS[1] ?? '', KEYS[1] ?? '')
const anyPlan = fc.constantFrom<Plan>('answer', 'answer', 'large', 'cut', 'refused', 'lost-before', 'lost-after')
const anyFate = fc.constantFrom<Fate>('whole', 'lost-before', 'lost-after', 'late', 'throttled', 'unreachable')
const anySend = fc.tuple(anyProcess, anyKey, fc.constantFrom('one', 'one', 'one', 'two'), anyPlan)

function startSend (real: Real, [process, key, body, plan]: [number, string, string, Plan]): void {
  real.send(process, key, body, plan)
}

const actions = [
  makeAction('send', anySend, startSend),
  makeAction('send', anySend, startSend),
  makeAction('advance', fc.constantFrom(1, 5, 5, 20, 100), async (real, ms) => { await real.advance(ms) }),
  makeAction('advance', fc.constantFrom(5, 20, 250, 1_000), async (real, ms) => { await real.advance(ms) }),
  makeAction('fates', fc.array(anyFate, { minLength: 1, maxLength: 4 }), (real, fates) => { real.platform.fates.push(...fates) }),
  makeAction('down', fc.boolean(), (real, isDown) => { real.platform.isDown = isDown }),
  makeAction('late', fc.constant(0), real => { real.platform.deliverLate() }),
  makeAction('pause', anyProcess, (real, process) => { real.processes[process]?.gate.close() }),
  makeAction('resume', anyProcess, (real, process) => { real.processes[process]?.gate.open() }),
  makeAction('crash', anyProcess, (real, process) => { real.crash(process) }),
  makeAction('abort', fc.nat(20), (real, index) => { real.sends[index]?.abort.abort() }),
  makeAction('advance', fc.constantFrom(11_000, 5 * HOUR_MS, 25 * HOUR_MS), async (real, ms) => { await real.advance(ms) })
]

function checkSends ({ sends }: Real): void {
  for (const key of KEYS) {
    const ofKey = sends.filter(send => send.key === key)
    expect(ofKey.filter(send => send.ran).length).toBeLessThanOrEqual(1)
    ofKey.forEach(send => { checkSend(send, ofKey) })
  }
}

function checkSend (send: Send, ofKey: readonly Send[]): void {
  if (send.result === undefined) return
  const { verdict, code, text, replayed } = send.result
  const run = ofKey.find(other => other.ran)
  if (verdict === 'not-run') expect(send.ran).toBe(false)
  if (verdict === 'ran') expect(run).toBeDefined()
  if (verdict === 'ran' && code === '' && text.length < 100) expect(text).toBe(`ran ${send.body}`)
  if (replayed) expect(run?.body).toBe(send.body)
  if (code === 'key_reused') expect(ofKey.some(other => other.body !== send.body)).toBe(true)
}

test('a key runs at most once, and a send that is called not run did not run', async () => {
  await fc.assert(fc.asyncProperty(fc.commands(actions, { maxCommands: 40, size: 'max' }), async commands => {
    const real = makeClaimants(START_MS, OFFSETS_MS)
    await fc.asyncModelRun(() => ({ model: { sends: 0 }, real }), commands)
    await real.heal()
    checkSends(real)
    await checkServes(real)
  }), readProofParameters(1_000))
})

/** After all faults have ended, a new key is claimed, run, and its outcome is replayed elsewhere. */
async function checkServes (real: Claimants): Promise<void> {
  const key = makeKey(real.clock.now(), 200)
  const first = real.send(0, key, 'new', 'answer')
  for (let round = 0; round < 20; round += 1) await real.advance(50)
  expect(first.result).toMatchObject({ verdict: 'ran', replayed: false })
  const second = real.send(1, key, 'new', 'answer')
  for (let round = 0; round < 20; round += 1) await real.advance(50)
  expect(second.result).toMatchObject({ verdict: 'ran', replayed: true, text: 'ran new' })
}

async function advanceMany (real: Real): Promise<void> {
  for (let round = 0; round < 20; round += 1) await real.advance(50)
}

test('a claim whose answer was lost is recognized and its request runs', async () => {
  const real = makeClaimants(START_MS, OFFSETS_MS)
  real.platform.fates.push('lost-after')
  const send = real.send(0, KEYS[1] ?? '', 'one', 'answer')
  await advanceMany(real)
  expect(send.result).toMatchObject({ verdict: 'ran', replayed: false })
})

test('a claim that is written after its caller left is released', async () => {
  const real = makeClaimants(START_MS, OFFSETS_MS)
  real.platform.fates.push('lost-after')
  const send = real.send(0, KEYS[1] ?? '', 'one', 'answer')
  await real.flush()
  await real.advance(5)
  send.abort.abort()
  await advanceMany(real)
  expect(send.result).toMatchObject({ verdict: 'not-run' })
  const resend = real.send(1, KEYS[1] ?? '', 'one', 'answer')
  await advanceMany(real)
  expect(resend.result).toMatchObject({ verdict: 'ran', replayed: false })
})

test('a claimant paused until the records of its key are gone does not run the request', async () => {
  const real = makeClaimants(START_MS, OFFSETS_MS)
  real.processes[0]?.gate.close()
  const paused = real.send(0, KEYS[1] ?? '', 'one', 'answer')
  await advanceMany(real)
  real.send(1, KEYS[1] ?? '', 'one', 'answer')
  await advanceMany(real)
  await real.advance(25 * HOUR_MS)
  for (const { name, version } of real.platform.objects.list('claim').objects) real.platform.objects.remove({ kind: 'claim', name, expected: version })
  real.processes[0]?.gate.open()
  await advanceMany(real)
  expect(paused.result).toMatchObject({ verdict: 'not-run', code: 'key_too_old' })
  checkSends(real)
})

test('expired shards are removed by whoever creates new ones, and the others are kept', async () => {
  const real = makeClaimants(START_MS, [0])
  const { objects } = real.platform
  const first = START_MS / BUCKET_MS
  const listBuckets = (): number[] => objects.list('claim').objects.map(({ name }) => Number.parseInt(name)).filter(bucket => bucket >= 0)
  const sendMany = async (buckets: number): Promise<void> => {
    for (let bucket = 0; bucket < buckets; bucket += 1) {
      for (let number = 0; number < 40; number += 1) real.send(0, makeKey(real.clock.now() + number, number), 'one', 'answer')
      await real.advance(BUCKET_MS)
    }
  }
  await sendMany(20)
  expect(listBuckets().length).toBeGreaterThan(200)
  for (const { name, version } of objects.list('claim').objects.filter(object => object.name.startsWith('swept'))) {
    objects.write({ kind: 'claim', name, expected: version, value: { bucket: first } })
  }
  await real.advance(24 * HOUR_MS - 300_000)
  await sendMany(25)
  const kept = listBuckets().filter(bucket => bucket < first + 20)
  expect(kept.filter(bucket => bucket < first + 8)).toEqual([])
  expect(kept.filter(bucket => bucket >= first + 15).length).toBeGreaterThan(50)
})
