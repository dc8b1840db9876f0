/**
 * Which host records two nodes have to exchange so that both hold the newer one of each.
 */
import { compareRecords, listDifferingBuckets } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { Buckets, Digests, Members } from '../members.js'
import type { Replica } from '../replica.js'

/** Bounds the work and memory for one message. */
const RECORDS_PER_MESSAGE = 500

/** A zone of which only the own record is held is left out: all of it is needed. */
export function makeDigests ({ members, own }: Replica): Digests {
  const { digests } = members
  const known = digests.listZones().filter(zone => digests.listHosts(zone).some(host => host !== own.host))
  return Object.fromEntries(known.map(zone => [zone, digests.formatZone(zone)]))
}

/** What a publisher sends first: all records of zones that the subscriber lacks, digests of buckets of zones that differ. */
export function listFirstMembers (replica: Replica, theirs: Digests): Array<Members | Buckets> {
  const { digests } = replica.members
  const lacking = digests.listZones().filter(zone => theirs[zone] === undefined)
  const differing = Object.entries(theirs).filter(([zone, bytes]) => Buffer.compare(digests.formatZone(zone), bytes) !== 0)
  const messages: Array<Members | Buckets> = splitRecords(replica.listRecords(lacking.flatMap(zone => digests.listHosts(zone).sort())))
  if (differing.length === 0) return messages
  return [...messages, { type: 'buckets', zones: Object.fromEntries(differing.map(([zone]) => [zone, digests.formatBuckets(zone)])) }]
}

/** What a subscriber answers to digests of buckets: all its records of those that differ. */
export function makeComplete ({ members }: Replica, { zones }: Buckets): Members {
  const complete = Object.fromEntries(Object.entries(zones).map(([zone, theirs]) =>
    [zone, listDifferingBuckets(members.digests.formatBuckets(zone), theirs)]))
  const hosts = Object.entries(complete).flatMap(([zone, buckets]) => members.digests.listHosts(zone, buckets))
  return { type: 'members', records: hosts.flatMap(host => members.get(host) ?? []), complete }
}

/** The publisher's records that the complete buckets of a subscriber lack or hold in an older state, removed ones included. */
export function listNewer ({ members }: Replica, { records, complete = {} }: Members): Members[] {
  const theirs = new Map(records.map(record => [record.host, record]))
  const hosts = Object.entries(complete).flatMap(([zone, buckets]) => members.digests.listHosts(zone, buckets))
  const held = [...new Set([...hosts, ...theirs.keys()])].flatMap(host => members.findNewest(host) ?? [])
  return splitRecords(held.filter(record => isNewer(record, theirs.get(record.host))))
}

function isNewer (own: HostRecord, their: HostRecord | undefined): boolean {
  return their === undefined || compareRecords(own, their) > 0
}

function splitRecords (records: readonly HostRecord[]): Members[] {
  const messages: Members[] = []
  for (let at = 0; at < records.length; at += RECORDS_PER_MESSAGE) {
    messages.push({ type: 'members', records: records.slice(at, at + RECORDS_PER_MESSAGE) })
  }
  return messages
}
