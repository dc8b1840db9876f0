/**
 * The platform is unreachable for a long time. Guards against nodes that stop serving during the outage, a node that
 * cannot start from its peers, and edits that are applied late afterwards.
 */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import type { HostLayout } from '../../standins/layout/schema.js'
import { isIncreasing, RECOVERY_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

/** Longer than the longest delay between two attempts to connect to the platform. */
const OUTAGE_MS = 9_000

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment(12) })
afterAll(async () => { await deployment.stop() })

test('nodes go on serving, start from their peers, and take an edit within 5 s afterwards', async () => {
  const { hosts } = deployment
  const version = await deployment.edit()
  await deployment.awaitInForce(hosts, version, RECOVERY_LIMIT_MS)
  const [killed, restarted] = hosts.filter(host => host.zone === 'gj-south-b') as [HostLayout, HostLayout]
  await deployment.setPlatformOutage(true)
  const outageStartedAt = performance.now()

  deployment.signal([killed, restarted], 'SIGKILL')
  await Promise.all([killed, restarted].map(async host => await deployment.processes.awaitExit(`node ${host.host}`)))
  deployment.processes.startNode(restarted)
  await deployment.processes.awaitReady([restarted], RECOVERY_LIMIT_MS)
  await deployment.awaitInForce([restarted], version, RECOVERY_LIMIT_MS)
  const running = hosts.filter(host => host !== killed)
  await deployment.awaitCondition('the nodes report that the platform is unreachable',
    async () => (await Promise.all(running.map(async host => await deployment.readStatus(host)))).every(({ source }) => !source), SETUP_LIMIT_MS)

  await deployment.awaitCondition('the outage lasts', async () => performance.now() - outageStartedAt > OUTAGE_MS, OUTAGE_MS + RECOVERY_LIMIT_MS)
  for (const host of running) expect(await deployment.readStatus(host)).toMatchObject({ ready: true })

  await deployment.setPlatformOutage(false)
  await deployment.awaitInForce(running, await deployment.edit(), RECOVERY_LIMIT_MS)
  deployment.processes.startNode(killed)
  await deployment.processes.awaitReady([killed], RECOVERY_LIMIT_MS)
  await deployment.awaitStatus()
  for (const host of hosts) expect(isIncreasing(await deployment.readApplied(host))).toBe(true)
})
