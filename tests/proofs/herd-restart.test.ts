/**
 * Many processes of the system crash at the same time. Guards against bursts of calls that prevent the fleet
 * from recovering, and against nodes that afterwards keep an old version or are unknown to other nodes.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import type { HostLayout } from '../../standins/layout/schema.js'
import { RECOVERY_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment(9) })
afterAll(async () => { await deployment.stop() })

const crashGroups: Record<string, () => HostLayout[]> = {
  'half of all nodes': () => deployment.hosts.filter(host => host.index % 2 === 0),
  'all nodes of a zone': () => deployment.hosts.filter(host => host.zone === 'gj-south-b'),
  'all nodes': () => deployment.hosts
}

describe.each(Object.keys(crashGroups))('after a simultaneous crash of %s', name => {
  test('the other nodes apply an edit, and the restarted nodes apply it and are known to all nodes', async () => {
    const crashed = crashGroups[name]?.() ?? []
    const survivors = deployment.hosts.filter(host => !crashed.includes(host))
    expect(crashed.length).toBeGreaterThan(0)
    deployment.signal(crashed, 'SIGKILL')
    await Promise.all(crashed.map(async host => await deployment.processes.awaitExit(`node ${host.host}`)))
    const version = await deployment.edit()
    await deployment.awaitInForce(survivors, version, SETUP_LIMIT_MS)
    crashed.forEach(host => { deployment.processes.startNode(host) })
    await deployment.processes.awaitReady(crashed, SETUP_LIMIT_MS)
    await deployment.awaitInForce(crashed, version, SETUP_LIMIT_MS)
    await deployment.awaitInForce(deployment.hosts, await deployment.edit(), RECOVERY_LIMIT_MS)
    await deployment.awaitStatus()
  })
})
