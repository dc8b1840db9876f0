/**
 * What two nodes hold that the other may lack. Zones of few hosts are exchanged whole; of larger ones
 * the digests of their buckets come first, so that only what differs travels.
 */
import { compareRecords, listDifferingBuckets } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ExchangeResponse, ExchangeRequest } from '../../peer/index.js'
import type { NodeState } from '../state.js'

/** The records of so many hosts take about as many bytes as the digests of a zone's buckets. */
const SMALL_ZONE_HOSTS = 16

type BucketSelection = NonNullable<ExchangeRequest['complete']>

/** The digest of each zone; the whole of a zone is equal when its digests are. */
export function collectZoneDigests ({ members: { digests } }: NodeState): Record<string, Uint8Array> {
  return Object.fromEntries(digests.listZones().map(zone => [zone, digests.getZoneDigest(zone)]))
}

function listZoneRecords (state: NodeState, zones: readonly string[]): HostRecord[] {
  return listZoneHosts(state, zones).flatMap(host => state.members.get(host) ?? [])
}

export function makeExchangeResponse (state: NodeState, request: ExchangeRequest): ExchangeResponse {
  const answer = { version: state.version, stamp: state.time.advance(), differing: [], buckets: {} }
  const isNewer = state.version > request.version && state.configuration !== undefined
  const brought = isNewer ? { ...answer, configuration: state.configuration } : answer
  const { digests } = state.members
  if (request.complete !== undefined) return { ...brought, records: listNewer(state, listBucketHosts(digests, request.complete), request.records) }
  const differing = listDifferingZones(state, request.zones)
  const small = differing.filter(zone => digests.listHosts(zone).length <= SMALL_ZONE_HOSTS)
  const large = differing.filter(zone => !small.includes(zone))
  const buckets = Object.fromEntries(large.map(zone => [zone, digests.getBucketDigests(zone)]))
  const records = [...listZoneRecords(state, small), ...listNewer(state, [], request.records)]
  return { ...brought, records, differing: small, buckets }
}

/** The buckets in which another node's digests differ from the own ones. */
export function findDifferingBuckets ({ members: { digests } }: NodeState, buckets: ExchangeResponse['buckets']): BucketSelection {
  return Object.fromEntries(Object.entries(buckets).map(([zone, theirs]) => [zone, listDifferingBuckets(digests.getBucketDigests(zone), theirs)]))
}

export function listBucketRecords ({ members }: NodeState, complete: BucketSelection): HostRecord[] {
  return listBucketHosts(members.digests, complete).flatMap(host => members.get(host) ?? [])
}

/** Records of the hosts that another node lacks or holds in an older state; removed ones included. `theirs` is what it has of them. */
export function listNewer ({ members }: NodeState, hosts: readonly string[], theirs: readonly HostRecord[]): HostRecord[] {
  const known = new Map(theirs.map(record => [record.host, record]))
  const all = new Set([...hosts, ...known.keys()])
  return [...all].flatMap(host => members.findNewest(host) ?? []).filter(record => {
    const their = known.get(record.host)
    return their === undefined || compareRecords(record, their) > 0
  })
}

export function listZoneHosts ({ members: { digests } }: NodeState, zones: readonly string[]): string[] {
  return zones.flatMap(zone => digests.listHosts(zone))
}

function listBucketHosts (digests: NodeState['members']['digests'], complete: BucketSelection): string[] {
  return Object.entries(complete).flatMap(([zone, buckets]) => digests.listHosts(zone, buckets))
}

function listDifferingZones (state: NodeState, theirs: Readonly<Record<string, Uint8Array>>): string[] {
  const own = collectZoneDigests(state)
  const zones = new Set([...Object.keys(own), ...Object.keys(theirs)])
  return [...zones].filter(zone => !isSameDigest(own[zone], theirs[zone]))
}

function isSameDigest (left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
  return left !== undefined && right !== undefined && Buffer.compare(left, right) === 0
}
