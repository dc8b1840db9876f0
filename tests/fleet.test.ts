/**
 * The sum that `status` shows: a region whose head does not answer must not count as fine, and no
 * node may be counted twice when the origin head and a region's own head both report it.
 */
import { describe, expect, test } from '@jest/globals'
import type { StatusAnswer } from '../src/peer/index.js'
import { sumFleet } from '../src/tool/queries/fleet.js'
import type { HeadReport } from '../src/tool/queries/fleet.js'

const REGIONS = ['central', 'south'] as const

function makeRecord (region: string, number: number, lost = false): StatusAnswer['records'][number] {
  return {
    host: `${region}-${number}`, zone: `${region}-a`, region, inbound: '', peer: '', admin: '', incarnation: 1, sequence: 1, state: 'serving', targets: [], lost
  }
}

/** Two nodes in each region; the first is its head, and the head of `central` counts what the other reports. */
function makeHead (region: string, sources: Record<string, number>, answered = true): HeadReport {
  const counts = Object.fromEntries(Object.entries(sources).map(([source, nodes]) => [source, { desk: { 7: nodes } }]))
  const answer = {
    node: `${region}-1`,
    zone: `${region}-a`,
    region,
    ready: true,
    duties: [`head-${region}`],
    upstream: '',
    nodes: 0,
    counts: {},
    sources: counts,
    lagging: [],
    refused: [],
    records: REGIONS.flatMap(one => [makeRecord(one, 1), makeRecord(one, 2)])
  }
  return { region, holder: `${region}-1`, answer: answered ? answer : undefined, reason: answered ? '' : 'silent' }
}

describe('sumFleet', () => {
  test('counts each node once when all regions answer', () => {
    const fleet = sumFleet([makeHead('central', { 'central-1': 1, 'central-2': 1, 'south-1': 2 }), makeHead('south', { 'south-1': 1, 'south-2': 1 })])
    expect(fleet.counts).toEqual({ desk: { 7: 4 } })
    expect(fleet.regions.every(region => region.answered)).toBe(true)
  })

  test('does not count a region that does not answer, whatever another head still counts for it', () => {
    const fleet = sumFleet([makeHead('central', { 'central-1': 1, 'central-2': 1, 'south-1': 2 }), makeHead('south', {}, false)])
    expect(fleet.counts).toEqual({ desk: { 7: 2 } })
    expect(fleet.nodes).toBe(4)
    expect(fleet.regions).toContainEqual({ region: 'south', nodes: 2, answered: false, reason: 'silent' })
  })

  test('counts a region that goes on as a root of its own', () => {
    const fleet = sumFleet([makeHead('central', { 'central-1': 1, 'central-2': 1 }), makeHead('south', { 'south-1': 1, 'south-2': 1 })])
    expect(fleet.counts).toEqual({ desk: { 7: 4 } })
  })

  test('a region without a head duty is one that did not answer', () => {
    expect(sumFleet([makeHead('central', { 'central-1': 2 })]).regions).toContainEqual({ region: 'south', nodes: 2, answered: false, reason: 'it has no head' })
  })
})
