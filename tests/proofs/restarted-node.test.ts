/**
 * What a node has acknowledged or has told its peers holds after its process was replaced, also when the store or the peers are away.
 * The nodes are processes that are killed, stopped and started again while their targets go on.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, test } from '@jest/globals'
import { awaitTrue, startRestartedHosts } from '../fixtures/restarts.js'
import type { RestartedHost, RestartedHosts } from '../fixtures/restarts.js'

const HOSTS = 3
const TIMEOUT_MS = 90_000
/** Time for which callers go on sending after a late heartbeat. */
const OBSERVED_MS = 1_500
const SEND_INTERVAL_MS = 25

let fleet: RestartedHosts | undefined

afterEach(async () => {
  await fleet?.stop()
  fleet = undefined
})

async function restartNode (host: RestartedHost, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
  await host.endNode(signal)
  host.startNode()
}

/** Sends requests to all nodes for a while. */
async function sendRequests (hosts: readonly RestartedHost[]): Promise<void> {
  const endsAt = performance.now() + OBSERVED_MS
  while (performance.now() < endsAt) {
    await Promise.all(hosts.map(async host => await host.send()))
    await delay(SEND_INTERVAL_MS)
  }
}

/** Guards against a target that has left and gets requests again, since the new process of its node takes a late heartbeat for a new target. */
describe('a target that has deregistered gets no requests after a late heartbeat', () => {
  interface Case { isStoreAway?: boolean, restarts: (hosts: readonly RestartedHost[]) => readonly RestartedHost[] }

  const cases: Array<[string, Case]> = [
    ['when its node was killed', { restarts: ([first]) => first === undefined ? [] : [first] }],
    ['when its node was killed while the store was away', { isStoreAway: true, restarts: ([first]) => first === undefined ? [] : [first] }],
    ['when all nodes were killed at once', { restarts: hosts => hosts }]
  ]

  test.each(cases)('%s', async (_name, { isStoreAway = false, restarts }) => {
    fleet = await startRestartedHosts(HOSTS)
    const { hosts, store } = fleet
    const [{ target }] = hosts as [RestartedHost]
    target.stopHeartbeats()
    if (isStoreAway) store.switches.refuseWith = 503
    expect(await target.deregister()).toBe(200)
    await Promise.all(restarts(hosts).map(async host => { await restartNode(host, 'SIGKILL') }))
    const runsBefore = target.runs.length
    // A late heartbeat may also arrive before the new process knows anything.
    await awaitTrue(async () => await target.sendHeartbeat() === 200)
    for (const host of hosts) await host.awaitReady()
    await target.sendHeartbeat()
    await sendRequests(hosts)
    expect(target.runs.length - runsBefore).toBe(0)
    // A later process at the same address is used.
    target.stop()
    target.start(2_000)
    await awaitTrue(async () => {
      await Promise.all(hosts.map(async host => await host.send()))
      return target.runs.length > 0
    })
  }, TIMEOUT_MS)
})
