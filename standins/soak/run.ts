/**
 * One soak run: a fleet of real node processes under load, to which the faults of a plan happen, and the promises that it broke.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '../../src/core/index.js'
import { findBlock } from '../layout/processes.js'
import { ObjectsServer } from '../objects/server.js'
import { runCaller } from './caller.js'
import { RETRY_BUDGET, SoakHost } from './host.js'
import { FaultInjector } from './injector.js'
import { SoakOperator } from './operator.js'
import { makePlan } from './plan.js'
import type { Fault } from './plan.js'
import { SoakRecord } from './record.js'

export interface SoakOptions {
  seed: number
  durationMs: number
  hosts: number
  /** Called at the start of each fault. */
  onFault?: (fault: Fault) => void
}

export interface SoakResult {
  requests: number
  succeeded: number
  faults: number
  violations: readonly string[]
  /** Folder with the output of the nodes. */
  folder: string
}

const SERVICES = ['left', 'right'] as const
const ZONES = 4
const ZONES_PER_REGION = 2
const READY_TIMEOUT_MS = 30_000
/** Time without faults at the end, in which the fleet recovers. */
const RECOVERY_MS = 12_000
/** Most requests of this last part of the recovery must succeed. */
const RECOVERED_MS = 4_000
const MIN_RECOVERED_SHARE = 0.9
/** After the recovery, this many nodes are stopped as planned work, under load. */
const STOPPED_HOSTS = 2

export async function runSoak ({ seed, durationMs, hosts: hostCount, onFault }: SoakOptions): Promise<SoakResult> {
  const random = new SeededRandom(seed)
  const record = new SoakRecord()
  const store = new ObjectsServer()
  const storeAddress = await store.listen()
  const operator = new SoakOperator(store, SERVICES, record)
  operator.edit()
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`))
  const block = await findBlock()
  const hosts = Array.from({ length: hostCount }, (_, index) => {
    const zone = index % ZONES
    return new SoakHost({
      index,
      block,
      service: SERVICES[Math.floor(index / ZONES) % SERVICES.length] ?? SERVICES[0],
      callee: SERVICES[1],
      zone: `z${zone}`,
      region: `r${Math.floor(zone / ZONES_PER_REGION)}`,
      store: storeAddress,
      folder,
      record,
      random
    })
  })
  const ended = new AbortController()
  const faults = makePlan({ seed, durationMs, hosts: hostCount })
  try {
    for (const host of hosts) await host.start()
    for (const host of hosts) if (!await host.awaitReady(READY_TIMEOUT_MS)) record.recordViolation(`host ${host.options.index} did not become ready`)
    const callers = hosts.flatMap(host => [true, false].map(async isKeepAlive => {
      await runCaller({ host, services: SERVICES, record, random, isKeepAlive }, ended.signal)
    }))
    const checks = operator.checkPeriodically(hosts, ended.signal)
    const injector = new FaultInjector({ hosts, services: SERVICES, store, operator, record })
    await injector.run(faults, onFault ?? (() => {}))
    await delay(RECOVERY_MS)
    record.checkRecovery(RECOVERED_MS, MIN_RECOVERED_SHARE)
    await injector.stopInTurn(hosts.slice(0, STOPPED_HOSTS))
    ended.abort()
    await Promise.all([...callers, checks])
    record.checkVerdicts()
    for (const service of SERVICES) record.checkRepeats(service, RETRY_BUDGET)
  } finally {
    ended.abort()
    for (const host of hosts) await host.close()
    await store.close()
  }
  return { requests: record.size, succeeded: record.countStatus(200), faults: faults.length, violations: record.violations, folder }
}
