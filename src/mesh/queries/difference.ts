/**
 * What two nodes hold that the other may lack.
 */
import type { HostRecord } from '../../membership/index.js'
import type { ExchangeAnswer, ExchangeRequest } from '../messages.js'
import type { MeshState } from '../state.js'

/** The digest of each zone; the whole of a zone is equal when its digests are. */
export function makeDigests ({ members: { digests } }: MeshState): Record<string, Uint8Array> {
  return Object.fromEntries(digests.listZones().map(zone => [zone, digests.formatZone(zone)]))
}

export function listDifferingZones (state: MeshState, theirs: Readonly<Record<string, Uint8Array>>): string[] {
  const own = makeDigests(state)
  const zones = new Set([...Object.keys(own), ...Object.keys(theirs)])
  return [...zones].filter(zone => !isSame(own[zone], theirs[zone]))
}

export function listZoneRecords ({ members }: MeshState, zones: readonly string[]): HostRecord[] {
  return zones.flatMap(zone => members.digests.listHosts(zone)).flatMap(host => members.get(host) ?? [])
}

export function makeAnswer (state: MeshState, request: ExchangeRequest): ExchangeAnswer {
  const differing = listDifferingZones(state, request.zones)
  const isNewer = state.version > request.version
  return {
    version: state.version,
    records: listZoneRecords(state, differing),
    differing,
    ...isNewer && state.configuration !== undefined ? { configuration: state.configuration } : {}
  }
}

function isSame (left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
  return left !== undefined && right !== undefined && Buffer.compare(left, right) === 0
}
