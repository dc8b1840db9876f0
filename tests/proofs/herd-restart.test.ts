/**
 * Processes of the system crash in large numbers at once. Guards against storms of calls that keep
 * the fleet from coming back, and against nodes that stay behind or unknown to others afterwards.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import type { HostLayout } from '../../standins/layout/schema.js'
import { RECOVERY_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment(9) })
afterAll(async () => { await deployment.stop() })

const herds: Record<string, () => HostLayout[]> = {
  'half of all nodes': () => deployment.hosts.filter(host => host.index % 2 === 0),
  'all nodes of a zone': () => deployment.hosts.filter(host => host.zone === 'gj-south-b'),
  'all nodes': () => deployment.hosts
}

describe.each(Object.keys(herds))('after a crash of %s at once', name => {
  test('the others get an edit, and those that restart have it and are known to all', async () => {
    const herd = herds[name]?.() ?? []
    const others = deployment.hosts.filter(host => !herd.includes(host))
    expect(herd.length).toBeGreaterThan(0)
    deployment.signal(herd, 'SIGKILL')
    await Promise.all(herd.map(async host => await deployment.processes.awaitExit(`node ${host.host}`)))
    const version = await deployment.edit()
    await deployment.awaitInForce(others, version, SETUP_LIMIT_MS)
    herd.forEach(host => { deployment.processes.startNode(host) })
    await deployment.processes.awaitReady(herd, SETUP_LIMIT_MS)
    await deployment.awaitInForce(herd, version, SETUP_LIMIT_MS)
    await deployment.awaitInForce(deployment.hosts, await deployment.edit(), RECOVERY_LIMIT_MS)
    await deployment.awaitStatus()
  })
})
