/**
 * Finds the state that one node has and another may lack. Zones of few hosts are exchanged completely. For
 * larger zones, the bucket digests are exchanged first, so that only the records of differing buckets are sent.
 */
import { deriveChange } from '../../configuration/index.js'
import { compareRecords, listDifferingBuckets } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { ExchangeRequest, ExchangeResponse } from '../../peer/index.js'
import type { NodeState } from '../state.js'

/** The records of this many hosts take about as many bytes as the bucket digests of a zone. */
const SMALL_ZONE_HOSTS = 16

type BucketSelection = NonNullable<ExchangeRequest['complete']>

/** Returns the digest of each zone. The records of a zone are equal on two nodes if the digests are. */
export function collectZoneDigests ({ members: { digests } }: NodeState): Record<string, Uint8Array> {
  return Object.fromEntries(digests.listZones().map(zone => [zone, digests.getZoneDigest(zone)]))
}

function listZoneRecords (state: NodeState, zones: readonly string[]): HostRecord[] {
  return listZoneHosts(state, zones).flatMap(host => state.members.get(host) ?? [])
}

export function makeExchangeResponse (state: NodeState, request: ExchangeRequest): ExchangeResponse {
  const { version, followsSource } = state
  const base = { version, followsSource, stamp: state.time.advance(), differing: [], buckets: {}, ...makeConfigurationPart(state, request) }
  const { digests } = state.members
  if (request.complete !== undefined) return { ...base, records: listNewer(state, listBucketHosts(digests, request.complete), request.records) }
  // The digests of a node that sends a change always differ by that change, so they do not show that this node lacks anything else.
  if (request.records.length > 0) return { ...base, records: listNewer(state, [], request.records) }
  const differing = listDifferingZones(state, request.zones)
  const small = differing.filter(zone => digests.listHosts(zone).length <= SMALL_ZONE_HOSTS)
  const large = differing.filter(zone => !small.includes(zone))
  const buckets = Object.fromEntries(large.map(zone => [zone, digests.getBucketDigests(zone)]))
  return { ...base, records: listZoneRecords(state, small), differing: small, buckets }
}

function makeConfigurationPart (
  { configuration, history }: NodeState, { version, wantsConfiguration }: ExchangeRequest
): Pick<ExchangeResponse, 'configuration' | 'configurationChange'> {
  if (!wantsConfiguration || configuration === undefined || configuration.version <= version) return {}
  const base = history.find(version)
  return base === undefined ? { configuration } : { configurationChange: deriveChange(base, configuration) }
}

/** Returns the buckets in which another node's digests differ from the local ones. */
export function findDifferingBuckets ({ members: { digests } }: NodeState, buckets: ExchangeResponse['buckets']): BucketSelection {
  return Object.fromEntries(Object.entries(buckets).map(([zone, theirs]) => [zone, listDifferingBuckets(digests.getBucketDigests(zone), theirs)]))
}

export function listBucketRecords ({ members }: NodeState, complete: BucketSelection): HostRecord[] {
  return listBucketHosts(members.digests, complete).flatMap(host => members.get(host) ?? [])
}

/** Returns records, including tombstones, that another node lacks or has in an older state. `theirs` are the records that it has. */
export function listNewer ({ members }: NodeState, hosts: readonly string[], theirs: readonly HostRecord[]): HostRecord[] {
  const theirRecords = new Map(theirs.map(record => [record.host, record]))
  const all = new Set([...hosts, ...theirRecords.keys()])
  return [...all].flatMap(host => members.findNewest(host) ?? []).filter(record => {
    const theirRecord = theirRecords.get(record.host)
    return theirRecord === undefined || compareRecords(record, theirRecord) > 0
  })
}

export function listZoneHosts ({ members: { digests } }: NodeState, zones: readonly string[]): string[] {
  return zones.flatMap(zone => digests.listHosts(zone))
}

function listBucketHosts (digests: NodeState['members']['digests'], complete: BucketSelection): string[] {
  return Object.entries(complete).flatMap(([zone, buckets]) => digests.listHosts(zone, buckets))
}

function listDifferingZones (state: NodeState, theirs: Readonly<Record<string, Uint8Array>>): string[] {
  const localDigests = collectZoneDigests(state)
  const zones = new Set([...Object.keys(localDigests), ...Object.keys(theirs)])
  return [...zones].filter(zone => !isSameDigest(localDigests[zone], theirs[zone]))
}

function isSameDigest (left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
  return left !== undefined && right !== undefined && Buffer.compare(left, right) === 0
}
