/**
 * Guards against a summary in `status` that counts an unresponsive node as healthy, or that does not name
 * a node that is behind the others or has lost the store.
 */
import { describe, expect, test } from '@jest/globals'
import { computeFleetStatus } from '../src/tool/queries/fleet.js'
import type { NodeReport } from '../src/tool/queries/fleet.js'

function makeReport (host: string, version: number, overrides: Partial<NonNullable<NodeReport['response']>> = {}): NodeReport {
  const place = { zone: 'central-a', region: 'central' }
  const record = { host, ...place, inbound: '', peer: '', admin: '', incarnation: 1, sequence: 1, state: 'serving' as const, targets: [], processes: [], marks: [] }
  const response = {
    node: host, ...place, ready: true, source: true, version: 9, versions: { desk: version }, refused: [], records: [], ...overrides
  }
  return { record, response, reason: '' }
}

describe('sumFleet', () => {
  test('counts each node once', () => {
    const fleet = computeFleetStatus([makeReport('h1', 7), makeReport('h2', 7)])
    expect(fleet).toMatchObject({ nodes: 2, counts: { desk: { 7: 2 } }, silent: [], lagging: [], withoutStore: [] })
  })

  test('does not count a node that does not respond, and names it', () => {
    const unresponsive: NodeReport = { ...makeReport('h2', 7), response: undefined, reason: 'refused' }
    const fleet = computeFleetStatus([makeReport('h1', 7), unresponsive])
    expect(fleet).toMatchObject({ nodes: 2, counts: { desk: { 7: 1 } }, silent: [{ host: 'h2', zone: 'central-a', reason: 'refused' }] })
  })

  test('names a node that is behind or lacks a service, and a node that gets no response from the store', () => {
    const fleet = computeFleetStatus([makeReport('h1', 7), makeReport('h2', 5, { source: false }), makeReport('h3', 0, { versions: {} })])
    expect(fleet.lagging).toEqual([{ host: 'h2', service: 'desk', version: 5 }, { host: 'h3', service: 'desk', version: 0 }])
    expect(fleet.withoutStore).toEqual(['h2'])
  })

  test('shows the newest refused version of each service', () => {
    const makeRefused = (version: number) => ({ refused: [{ service: 'desk', version, reason: `bad ${version}` }] })
    expect(computeFleetStatus([makeReport('h1', 7, makeRefused(8)), makeReport('h2', 7, makeRefused(9))]).refused)
      .toEqual([{ service: 'desk', version: 9, reason: 'bad 9' }])
  })
})
