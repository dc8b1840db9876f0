/**
 * Digests of the records of each zone, kept up to date as records change, so that two nodes find
 * the records in which they differ without sending them all. A zone has BUCKETS buckets; a host
 * is always in the same one. A digest is the exclusive-or over its records, so that replacing one
 * record costs two operations.
 */
import { createHash } from 'node:crypto'
import { formatCanonicalJson } from '../core/index.js'
import type { HostRecord } from './schema.js'

/** About ten records of a zone of 2,636 hosts share a bucket; the digests of a zone take 1 KiB. */
export const BUCKETS = 256
const WORD_BYTES = 4

interface Counted { zone: string, bucket: number, word: number, check: number }

class ZoneDigest {
  readonly words = new Uint32Array(BUCKETS)
  readonly hosts: ReadonlyArray<Set<string>> = Array.from({ length: BUCKETS }, () => new Set<string>())
  sum = 0
  check = 0

  apply ({ bucket, word, check }: Counted): void {
    this.words[bucket] = (this.words[bucket] ?? 0) ^ word
    this.sum ^= word
    this.check ^= check
  }
}

export class MemberDigests {
  private readonly zones = new Map<string, ZoneDigest>()
  private readonly counted = new Map<string, Counted>()

  listZones (): string[] {
    return [...this.zones.keys()]
  }

  /** Eight bytes over the whole zone; two zones that differ have the same with a chance of 2^-64. */
  formatZone (zone: string): Uint8Array<ArrayBuffer> {
    const digest = this.zones.get(zone)
    return formatWords([digest?.sum ?? 0, digest?.check ?? 0])
  }

  /** Four bytes for each bucket. */
  formatBuckets (zone: string): Uint8Array<ArrayBuffer> {
    return formatWords(this.zones.get(zone)?.words ?? new Uint32Array(BUCKETS))
  }

  listHosts (zone: string, buckets?: Iterable<number>): string[] {
    const hosts = this.zones.get(zone)?.hosts ?? []
    if (buckets === undefined) return hosts.flatMap(bucket => [...bucket])
    return [...buckets].flatMap(bucket => [...(hosts[bucket] ?? [])])
  }

  /** Only the table calls this, with each record that it takes. */
  replace (record: HostRecord): void {
    this.remove(record.host)
    const counted = computeCounted(record)
    const digest = this.getZone(record.zone)
    digest.apply(counted)
    digest.hosts[counted.bucket]?.add(record.host)
    this.counted.set(record.host, counted)
  }

  /** Only the table calls this, with each host that it drops. */
  remove (host: string): void {
    const counted = this.counted.get(host)
    if (counted === undefined) return
    const digest = this.getZone(counted.zone)
    digest.apply(counted)
    digest.hosts[counted.bucket]?.delete(host)
    this.counted.delete(host)
  }

  private getZone (zone: string): ZoneDigest {
    const held = this.zones.get(zone)
    if (held !== undefined) return held
    const digest = new ZoneDigest()
    this.zones.set(zone, digest)
    return digest
  }
}

function computeCounted (record: HostRecord): Counted {
  const bytes = createHash('sha256').update(formatCanonicalJson(record)).digest()
  const bucket = createHash('sha256').update(record.host).digest().readUInt32BE(0) % BUCKETS
  return { zone: record.zone, bucket, word: bytes.readUInt32BE(0), check: bytes.readUInt32BE(WORD_BYTES) }
}

function formatWords (words: ArrayLike<number>): Uint8Array<ArrayBuffer> {
  const bytes = new DataView(new ArrayBuffer(words.length * WORD_BYTES))
  for (let index = 0; index < words.length; index += 1) bytes.setUint32(index * WORD_BYTES, words[index] ?? 0)
  return new Uint8Array(bytes.buffer)
}
