/**
 * A duty expires while its holder is paused and unaware. Guards against a subtree that waits for a
 * paused head or relay, and against a holder that wakes, goes on in its old place and stays behind.
 */
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import { isRising, REPAIR_LIMIT_MS, SETUP_LIMIT_MS, startDeployment } from '../fixtures/deployment.js'
import type { Deployment } from '../fixtures/deployment.js'

let deployment: Deployment

beforeAll(async () => { deployment = await startDeployment() })
afterAll(async () => { await deployment.stop() })

describe.each(['head-gj-central', 'head-gj-south', 'relay-gj-saurashtra-b'])('while the holder of %s is paused', duty => {
  test('the others get an edit within 5 s, and the holder follows its successor within 5 s of waking', async () => {
    const holder = await deployment.findHolder(duty)
    const others = deployment.hosts.filter(host => host !== holder)
    deployment.signal([holder], 'SIGSTOP')
    const version = await deployment.edit()
    await deployment.awaitInForce(others, version, REPAIR_LIMIT_MS)
    await deployment.awaitCondition('another node has the duty', async () => await deployment.findHolder(duty) !== holder, SETUP_LIMIT_MS)

    deployment.signal([holder], 'SIGCONT')
    await deployment.awaitInForce([holder], version, REPAIR_LIMIT_MS)
    await deployment.awaitCondition('the old holder stepped down', async () => !(await deployment.readPlace(holder)).duties.includes(duty), REPAIR_LIMIT_MS)
    await deployment.awaitInForce(deployment.hosts, await deployment.edit(), REPAIR_LIMIT_MS)
    await deployment.awaitStatus()
    for (const host of deployment.hosts) expect(isRising(await deployment.readApplied(host))).toBe(true)
  })
})
