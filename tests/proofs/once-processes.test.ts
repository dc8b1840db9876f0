/**
 * Guards, with real processes, against a booking that runs twice when its first node is killed or frozen
 * between the claim and the send, and is sent again to another node.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { spawnSync } from 'node:child_process'
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { request } from 'undici'
import { v7 as makeUuid } from 'uuid'
import { HEADERS } from '../../src/request/index.js'
import { findBlock, Processes } from '../../standins/layout/processes.js'
import { formatAddress, MANDAP, placeHosts } from '../../standins/layout/schema.js'
import type { HostLayout, Placement } from '../../standins/layout/schema.js'

interface End { status: number, verdict: string | undefined, replayed: boolean }

let placement: Placement
let processes: Processes
let desks: HostLayout[]

beforeAll(async () => {
  placement = placeHosts(MANDAP, await findBlock(), 3)
  processes = new Processes(placement)
  desks = placement.hosts.filter(host => host.service === 'counter-desk')
  await processes.startPlatform()
  for (const host of placement.hosts) {
    processes.startNode(host)
    processes.startTarget(host)
  }
  for (const service of ['design-gallery', 'counter-desk']) {
    const applied = spawnSync(process.execPath, ['dist/src/bin/tool.js', 'apply', `examples/${service}.yaml`, `--platform=${processes.platform}`])
    expect(applied.status).toBe(0)
  }
  await processes.awaitReady(placement.hosts, 30_000)
  for (const host of desks) await awaitBooking(host)
})

afterAll(async () => { await processes.stopAll() })

function getDesk (index: number): HostLayout {
  const host = desks[index]
  if (host === undefined) throw new Error(`no host ${index}`)
  return host
}

async function book (host: HostLayout, key: string): Promise<End> {
  try {
    const answer = await request(`http://${formatAddress(host, 'caller')}/bookings`, {
      method: 'POST', headers: { [HEADERS.service]: 'counter-desk', [HEADERS.key]: key }, body: 'seat 7', signal: AbortSignal.timeout(20_000)
    })
    const body = await answer.body.json() as { verdict?: string }
    return { status: answer.statusCode, verdict: body.verdict, replayed: answer.headers[HEADERS.replayed] !== undefined }
  } catch {
    return { status: 0, verdict: undefined, replayed: false }
  }
}

async function awaitBooking (host: HostLayout): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    if ((await book(host, makeUuid())).status === 200) return
    await delay(100)
  }
  throw new Error(`no booking at ${host.host}`)
}

async function countRuns (key: string): Promise<number> {
  const counts = await Promise.all(desks.map(async host => {
    const answer = await request(`http://${formatAddress(host, 'target')}/runs`)
    return (await answer.body.json() as Record<string, number>)[key] ?? 0
  }))
  return counts.reduce((sum, count) => sum + count, 0)
}

/** Writes take effect and are answered late, so a signal hits the first node between its claim and its send. */
async function setLate (lateAnswerMs: number): Promise<void> {
  const answer = await request(`${processes.platform}/control`, { method: 'POST', body: JSON.stringify({ lateAnswerMs }) })
  await answer.body.dump()
}

async function hasClaim (key: string): Promise<boolean> {
  const answer = await request(`${processes.platform}/v1/objects/claim`)
  return (await answer.body.text()).includes(key)
}

test('a resend during the first run, and one after it', async () => {
  const key = makeUuid()
  const ends = await Promise.all(desks.map(async host => await book(host, key)))
  expect(ends.filter(end => end.status === 200 && !end.replayed).length).toBe(1)
  expect(ends.every(end => end.status === 200 || end.verdict === 'may-have-run')).toBe(true)
  await delay(500)
  expect(await book(getDesk(1), key)).toMatchObject({ status: 200, replayed: true })
  expect(await countRuns(key)).toBe(1)
})

test('a first node that is frozen while it claims, and resumes after the resend', async () => {
  const key = makeUuid()
  await setLate(1_500)
  const first = book(getDesk(0), key)
  while (!await hasClaim(key)) await delay(5)
  processes.signal(`node ${getDesk(0).host}`, 'SIGSTOP')
  await setLate(0)
  const resend = await book(getDesk(1), key)
  await delay(4_000)
  processes.signal(`node ${getDesk(0).host}`, 'SIGCONT')
  const end = await first
  await delay(500)
  const runs = await countRuns(key)
  expect(runs).toBeLessThanOrEqual(1)
  expect(resend).toMatchObject({ status: 409, verdict: 'may-have-run' })
  if (end.verdict === 'not-run') expect(runs).toBe(0)
})

test('a first node that is killed while it claims', async () => {
  const key = makeUuid()
  await setLate(1_500)
  const first = book(getDesk(0), key)
  while (!await hasClaim(key)) await delay(5)
  processes.signal(`node ${getDesk(0).host}`, 'SIGKILL')
  await setLate(0)
  expect(await first).toMatchObject({ status: 0 })
  expect(await book(getDesk(1), key)).toMatchObject({ status: 409, verdict: 'may-have-run' })
  expect(await countRuns(key)).toBe(0)
})
