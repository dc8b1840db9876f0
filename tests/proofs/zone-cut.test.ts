/**
 * A zone loses all its links, including those to the platform. Guards against a zone that stops serving while it is
 * partitioned, and a zone that keeps an old version after the links are restored.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import { isIncreasing, RECOVERY_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment() })
afterAll(async () => { await deployment.stop() })

describe.each([
  ['gj-south-a', 'reset'], ['gj-saurashtra-b', 'silent'], ['gj-central-a', 'reset']
] as const)('a partition of %s (%s)', (zone, state) => {
  test('leaves the zone serving, and the newest version is in force 5 s after the partition ends', async () => {
    const inside = deployment.hosts.filter(host => host.zone === zone)
    const outside = deployment.hosts.filter(host => host.zone !== zone)
    await deployment.setZoneLinks(zone, state)
    const version = await deployment.edit()
    await deployment.awaitInForce(outside, version, RECOVERY_LIMIT_MS)
    await deployment.awaitCondition('the nodes of the zone report that the platform is unreachable',
      async () => (await Promise.all(inside.map(async host => await deployment.readStatus(host)))).every(({ source }) => !source), SETUP_LIMIT_MS)
    for (const host of inside) {
      expect(await deployment.readStatus(host)).toMatchObject({ ready: true })
      expect((await deployment.readApplied(host)).at(-1)).toBeLessThan(version)
    }

    await deployment.setZoneLinks(zone, 'up')
    await deployment.awaitInForce(inside, version, RECOVERY_LIMIT_MS)
    await deployment.awaitInForce(deployment.hosts, await deployment.edit(), RECOVERY_LIMIT_MS)
    await deployment.awaitStatus()
    for (const host of deployment.hosts) expect(isIncreasing(await deployment.readApplied(host))).toBe(true)
  })
})
