/**
 * Guards against parts that work alone but not together. All of them run as separate processes: a document is applied with the operator's
 * tool, and a call goes through two nodes to a target and back.
 */
import { spawnSync } from 'node:child_process'
import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from '@jest/globals'
import { sendCall } from '../standins/caller/load.js'
import { findBlock, Processes } from '../standins/layout/processes.js'
import { formatAddress, MANDAP, placeHosts } from '../standins/layout/schema.js'
import type { HostLayout, Placement } from '../standins/layout/schema.js'

const SERVICES = ['design-gallery', 'counter-desk']
/** An accepted document is in force on every node within this time. */
const IN_FORCE_LIMIT_MS = 5_000
const POLL_INTERVAL_MS = 100

let placement: Placement
let processes: Processes

function runTool (...args: string[]): { code: number | null, stdout: string, stderr: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/tool.js', ...args, `--platform=${processes.platform}`], { encoding: 'utf8' })
  return { code: status, stdout, stderr }
}

function getHost (index: number): HostLayout {
  const host = placement.hosts[index]
  if (host === undefined) throw new Error(`no host ${index}`)
  return host
}

beforeAll(async () => {
  placement = placeHosts(MANDAP, await findBlock(), 2)
  processes = new Processes(placement)
  await processes.startPlatform()
  for (const host of placement.hosts) {
    processes.startNode(host)
    processes.startTarget(host)
  }
  for (const service of SERVICES) expect(runTool('apply', `examples/${service}.yaml`)).toMatchObject({ code: 0 })
  await processes.awaitReady(placement.hosts, 30_000)
})

afterAll(async () => { await processes.stopAll() })

describe('end to end', () => {
  test('a caller receives the complete response of a target in another region', async () => {
    const call = { service: 'design-gallery', method: 'PUT', path: '/photos/1', keyed: false, bodyBytes: 300_000 } as const
    const result = await sendUntilRun(getHost(0), call)
    expect(result).toMatchObject({ verdict: 'ran', status: 200 })
  })

  /** Until then a peer may have a newer version that allows the call, so a node that lags rejects it with a status that callers repeat. */
  test('once the documents are in force on all nodes, a call to an unknown service is rejected as not run and wrong', async () => {
    await awaitInForce()
    const call = { service: 'nobody', method: 'GET', path: '/', keyed: false, bodyBytes: 0 } as const
    const results = await Promise.all(placement.hosts.map(async host => await sendCall(formatAddress(host, 'caller'), call)))
    for (const result of results) expect(result).toMatchObject({ verdict: 'not-run', status: 404 })
  })

  test('a stale edit fails with a conflict and an exit code of its own', () => {
    const { code, stderr } = runTool('apply', 'examples/counter-desk.yaml', '--expected=1')
    expect(code).toBe(3)
    expect(stderr).toContain('conflict')
  })

  test('status shows how many nodes have the newest version in force', async () => {
    const { code, stdout } = runTool('status')
    expect(code).toBe(0)
    expect(stdout).toContain(`in force on ${placement.hosts.length} of ${placement.hosts.length} nodes`)
  })
})

/** Waits until each node has the accepted version of both documents in force. */
async function awaitInForce (): Promise<void> {
  const inForce = `in force on ${placement.hosts.length} of ${placement.hosts.length} nodes`
  const deadlineMs = Date.now() + IN_FORCE_LIMIT_MS
  while (runTool('status').stdout.split(inForce).length <= SERVICES.length) {
    if (Date.now() > deadlineMs) throw new Error(`not in force on all nodes after ${IN_FORCE_LIMIT_MS} ms`)
    await delay(POLL_INTERVAL_MS)
  }
}

/** Retries until a target has run the call, since targets are announced shortly after the nodes are ready. */
async function sendUntilRun (host: HostLayout, call: Parameters<typeof sendCall>[1]): ReturnType<typeof sendCall> {
  for (let attempt = 0; ; attempt += 1) {
    const result = await sendCall(formatAddress(host, 'caller'), call)
    if (result.verdict === 'ran' || attempt === 50) return result
    await delay(POLL_INTERVAL_MS)
  }
}
