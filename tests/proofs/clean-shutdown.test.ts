/**
 * P8: a graceful shutdown cuts no request in flight, whether the node is its first or its last
 * one, and is bounded by --drain-timeout. Guards against a drain that stops at a fixed point, a
 * second SIGTERM, connections refused too early, and requests that never end.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import { setTimeout as delay } from 'node:timers/promises'
import { Dialer, MsgpackCodec, PeerClient } from '../../src/peer/index.js'
import { formatAddress } from '../../standins/layout/schema.js'
import type { HostLayout } from '../../standins/layout/schema.js'
import { getHost, sendGet, openUpload, startHosts } from '../fixtures/hosts.js'
import type { HostProcesses, Upload } from '../fixtures/hosts.js'

/** Hosts 1 and 2 have targets of counter-desk, hosts 3 and 4 of design-gallery, each in a zone of its own. */
const DRAINED = 3
const BOUNDED = 4
const DRAIN_TIMEOUT_MS = 4_500
/** Longer than the time after which a draining node refuses new connections of other nodes. */
const PAST_SPREAD_MS = 4_000
const UPLOADS_TRIED = 60

let fleet: HostProcesses

beforeAll(async () => { fleet = await startHosts(2, { [BOUNDED]: [`--drain-timeout=${DRAIN_TIMEOUT_MS}`] }) }, 60_000)

afterAll(async () => { await fleet.processes.stopAll() })

/** Opens uploads until one is answered by the target; gives that one alone. */
async function openUploadTo (host: HostLayout, target: string): Promise<Upload> {
  for (let attempt = 0; attempt < UPLOADS_TRIED; attempt += 1) {
    const upload = await openUpload(host)
    if (upload.target === target) return upload
    upload.finish()
    await upload.isEchoed
  }
  throw new Error(`${target} answered no upload`)
}

async function queryStatus (host: HostLayout): Promise<boolean> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const answer = await client.queryStatus(formatAddress(host, 'peer'))
  client.close()
  return answer.ok
}

describe('clean shutdown', () => {
  test('SIGTERM cuts nothing in flight through the node as first and as last node', async () => {
    const drained = getHost(fleet, DRAINED)
    const elsewhere = getHost(fleet, 1)
    const asLast = await openUploadTo(elsewhere, `t-${DRAINED}`)
    const asBoth = await openUploadTo(drained, `t-${DRAINED}`)
    fleet.processes.signal(`node ${drained.host}`, 'SIGTERM')
    const exit = fleet.processes.awaitExit(`node ${drained.host}`)
    await delay(500)
    const early = await sendGet(drained, 'counter-desk', '/availability')
    expect(early).toMatchObject({ status: 200, connection: 'close' })
    const asFirst = await openUpload(drained)
    expect(asFirst.target).toBe(`t-${BOUNDED}`)
    fleet.processes.signal(`node ${drained.host}`, 'SIGTERM')
    await delay(PAST_SPREAD_MS)
    // A request in flight on the target may still make calls of its own through this node.
    expect(await sendGet(drained, 'counter-desk', '/availability')).toMatchObject({ status: 200 })
    expect(await queryStatus(drained)).toBe(true)
    for (const upload of [asLast, asBoth, asFirst]) upload.finish()
    expect(await Promise.all([asLast.isEchoed, asBoth.isEchoed, asFirst.isEchoed])).toEqual([true, true, true])
    expect(await exit).toBe(0)
    expect(await sendGet(drained, 'counter-desk', '/availability')).toMatchObject({ status: 0 })
  })

  test('a request that does not end is cut at the drain timeout, and the exit code says so', async () => {
    const bounded = getHost(fleet, BOUNDED)
    const endless = await openUpload(bounded)
    const startedAt = performance.now()
    fleet.processes.signal(`node ${bounded.host}`, 'SIGTERM')
    expect(await fleet.processes.awaitExit(`node ${bounded.host}`)).toBe(3)
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(DRAIN_TIMEOUT_MS)
    expect(performance.now() - startedAt).toBeLessThan(DRAIN_TIMEOUT_MS + 10_000)
    expect(await endless.isEchoed).toBe(false)
  })
})
