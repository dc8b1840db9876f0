/**
 * What a node has acknowledged or has told its peers holds after its process was replaced, also when the store or the peers are away.
 * The nodes are processes that are killed, stopped and started again while their targets go on.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, test } from '@jest/globals'
import { awaitTrue, CRASHING_PATH, startRestartedHosts } from '../fixtures/restarts.js'
import type { RestartedHost, RestartedHosts } from '../fixtures/restarts.js'

const HOSTS = 3
const TIMEOUT_MS = 90_000
/** Time for which callers go on sending after a late heartbeat. */
const OBSERVED_MS = 1_500
const SEND_INTERVAL_MS = 25
/** Within this time each node knows that a request has crashed a target. */
const MARK_SPREAD_MS = 1_000

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

/** Guards against a request that is blocked since it crashed two targets, and crashes more of them after nodes were restarted. */
describe('a request that is blocked on all nodes stays blocked', () => {
  interface Case { isStoreAway?: boolean, signal?: 'SIGKILL' | 'SIGTERM', areInTurn?: boolean }

  /** Sends the crashing request to each node in turn. Targets are back soon after each crash. */
  async function sendCrashing ({ hosts }: RestartedHosts, born: number): Promise<string[]> {
    const codes: string[] = []
    for (const host of hosts) {
      codes.push((await host.send(CRASHING_PATH)).code)
      await delay(MARK_SPREAD_MS)
      for (const { target } of hosts) if (!target.isRunning) target.start(born)
      await awaitTrue(async () => (await host.send()).status === 200)
    }
    return codes
  }

  const cases: Array<[string, Case]> = [
    ['when the nodes are killed in turn', { areInTurn: true }],
    ['when the nodes are killed in turn while the store is away', { areInTurn: true, isStoreAway: true }],
    ['when the nodes are stopped in turn', { areInTurn: true, signal: 'SIGTERM' }],
    ['when all nodes are killed at once', {}]
  ]

  test.each(cases)('%s', async (_name, { isStoreAway = false, signal = 'SIGKILL', areInTurn = false }) => {
    fleet = await startRestartedHosts(HOSTS)
    const { hosts, store } = fleet
    await sendCrashing(fleet, 2_000)
    expect(fleet.crashes).toBe(2)
    if (isStoreAway) store.switches.refuseWith = 503
    if (!areInTurn) await Promise.all(hosts.map(async host => { await restartNode(host, signal) }))
    for (const host of hosts) {
      if (areInTurn) await restartNode(host, signal)
      await host.awaitReady()
    }
    await awaitTrue(async () => (await Promise.all(hosts.map(async host => await host.send()))).every(({ status }) => status === 200))
    expect(await sendCrashing(fleet, 3_000)).toEqual(hosts.map(() => 'quarantined'))
    expect(fleet.crashes).toBe(2)
  }, TIMEOUT_MS)
})
