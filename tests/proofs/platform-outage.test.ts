/**
 * The platform is down for a long time. Guards against nodes that stop serving or lose their place
 * meanwhile, a node that cannot start from the peers of its zone, and edits that arrive late afterwards.
 */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import type { HostLayout } from '../../standins/layout/schema.js'
import { isRising, REPAIR_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

/** Longer than all limits of the tree: silence, standing ticks, the wait before a lone node asks the platform. */
const OUTAGE_MS = 9_000

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment(12) })
afterAll(async () => { await deployment.stop() })

test('nodes keep their place, start from their peers, survive their relay, and take an edit within 5 s afterwards', async () => {
  const { hosts } = deployment
  const version = await deployment.edit()
  await deployment.awaitInForce(hosts, version, REPAIR_LIMIT_MS)
  const origin = await deployment.findHolder('head-gj-central')
  const relay = await deployment.findHolder('relay-gj-south-b')
  const last = hosts.filter(host => host.zone === relay.zone && host !== relay).at(-1) as HostLayout
  await deployment.setPlatform(true)
  const downAt = performance.now()

  deployment.signal([relay, last], 'SIGKILL')
  await Promise.all([relay, last].map(async host => await deployment.processes.awaitExit(`node ${host.host}`)))
  deployment.processes.startNode(last)
  await deployment.processes.awaitReady([last], REPAIR_LIMIT_MS)
  await deployment.awaitInForce([last], version, REPAIR_LIMIT_MS)
  const living = hosts.filter(host => host !== relay)
  await deployment.awaitCondition('the tree holds all living nodes without the platform',
    async () => await deployment.isCounted(origin, version, living.length), SETUP_LIMIT_MS)

  await deployment.awaitCondition('the outage lasts', async () => performance.now() - downAt > OUTAGE_MS, OUTAGE_MS + REPAIR_LIMIT_MS)
  for (const host of living) expect(await deployment.readPlace(host)).toMatchObject({ ready: true, upstream: expect.stringMatching(/./) })

  await deployment.setPlatform(false)
  await deployment.awaitInForce(living, await deployment.edit(), REPAIR_LIMIT_MS)
  deployment.processes.startNode(relay)
  await deployment.processes.awaitReady([relay], REPAIR_LIMIT_MS)
  await deployment.awaitStatus()
  for (const host of hosts) expect(isRising(await deployment.readApplied(host))).toBe(true)
})
