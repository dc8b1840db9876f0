/**
 * P8: a graceful shutdown aborts no request in flight, on the caller-side node or on the target-side node,
 * and takes no longer than --drain-timeout. Guards against a drain that ends at a fixed time although
 * requests are in flight, a second SIGTERM, connections that are rejected too early, and requests that never end.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import { setTimeout as delay } from 'node:timers/promises'
import { Dialer, MsgpackCodec, PeerClient } from '../../src/peer/index.js'
import { formatAddress } from '../../standins/layout/schema.js'
import type { HostLayout } from '../../standins/layout/schema.js'
import { getHost, sendGet, openUpload, startHosts } from '../fixtures/hosts.js'
import type { HostProcesses, Upload } from '../fixtures/hosts.js'

/** Hosts 1 and 2 have targets of counter-desk, hosts 3 and 4 of design-gallery, each in a separate zone. */
const DRAINED_HOST_INDEX = 3
const BOUNDED_HOST_INDEX = 4
const DRAIN_TIMEOUT_MS = 4_500
/** Longer than the time after which a draining node rejects new connections from other nodes. */
const AFTER_INBOUND_CLOSE_MS = 4_000
const MAX_UPLOAD_ATTEMPTS = 60

let fleet: HostProcesses

beforeAll(async () => { fleet = await startHosts(2, { [BOUNDED_HOST_INDEX]: [`--drain-timeout=${DRAIN_TIMEOUT_MS}`] }) }, 60_000)

afterAll(async () => { await fleet.processes.stopAll() })

/** Opens uploads until the given target responds to one, and returns that one. Finishes the others. */
async function openUploadTo (host: HostLayout, target: string): Promise<Upload> {
  for (let attempt = 0; attempt < MAX_UPLOAD_ATTEMPTS; attempt += 1) {
    const upload = await openUpload(host)
    if (upload.target === target) return upload
    upload.finish()
    await upload.isEchoed
  }
  throw new Error(`${target} responded to no upload`)
}

async function queryStatus (host: HostLayout): Promise<boolean> {
  const client = new PeerClient(new MsgpackCodec(), new Dialer())
  const response = await client.queryStatus(formatAddress(host, 'peer'))
  client.close()
  return response.ok
}

describe('clean shutdown', () => {
  test('SIGTERM aborts no request in flight through the node as caller-side and as target-side node', async () => {
    const drainedHost = getHost(fleet, DRAINED_HOST_INDEX)
    const otherHost = getHost(fleet, 1)
    const targetSideUpload = await openUploadTo(otherHost, `t-${DRAINED_HOST_INDEX}`)
    const bothSidesUpload = await openUploadTo(drainedHost, `t-${DRAINED_HOST_INDEX}`)
    fleet.processes.signal(`node ${drainedHost.host}`, 'SIGTERM')
    const exit = fleet.processes.awaitExit(`node ${drainedHost.host}`)
    await delay(500)
    const earlyResponse = await sendGet(drainedHost, 'counter-desk', '/availability')
    expect(earlyResponse).toMatchObject({ status: 200, connection: 'close' })
    const callerSideUpload = await openUpload(drainedHost)
    expect(callerSideUpload.target).toBe(`t-${BOUNDED_HOST_INDEX}`)
    fleet.processes.signal(`node ${drainedHost.host}`, 'SIGTERM')
    await delay(AFTER_INBOUND_CLOSE_MS)
    // A target with a request in flight may still send calls through this node.
    expect(await sendGet(drainedHost, 'counter-desk', '/availability')).toMatchObject({ status: 200 })
    expect(await queryStatus(drainedHost)).toBe(true)
    for (const upload of [targetSideUpload, bothSidesUpload, callerSideUpload]) upload.finish()
    expect(await Promise.all([targetSideUpload.isEchoed, bothSidesUpload.isEchoed, callerSideUpload.isEchoed])).toEqual([true, true, true])
    expect(await exit).toBe(0)
    expect(await sendGet(drainedHost, 'counter-desk', '/availability')).toMatchObject({ status: 0 })
  })

  test('a request that does not end is aborted at the drain timeout, and the exit code reports it', async () => {
    const boundedHost = getHost(fleet, BOUNDED_HOST_INDEX)
    const endlessUpload = await openUpload(boundedHost)
    const startedAt = performance.now()
    fleet.processes.signal(`node ${boundedHost.host}`, 'SIGTERM')
    expect(await fleet.processes.awaitExit(`node ${boundedHost.host}`)).toBe(3)
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(DRAIN_TIMEOUT_MS)
    expect(performance.now() - startedAt).toBeLessThan(DRAIN_TIMEOUT_MS + 10_000)
    expect(await endlessUpload.isEchoed).toBe(false)
  })
})
