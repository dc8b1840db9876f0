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
export const BUCKET_COUNT = 256
const WORD_BYTES = 4

interface RecordDigest { zone: string, bucket: number, word: number, checkWord: number }

class ZoneDigest {
  readonly bucketWords = new Uint32Array(BUCKET_COUNT)
  readonly hosts: ReadonlyArray<Set<string>> = Array.from({ length: BUCKET_COUNT }, () => new Set<string>())
  zoneWord = 0
  zoneCheckWord = 0

  apply ({ bucket, word, checkWord: check }: RecordDigest): void {
    this.bucketWords[bucket] = (this.bucketWords[bucket] ?? 0) ^ word
    this.zoneWord ^= word
    this.zoneCheckWord ^= check
  }
}

export class MemberDigests {
  private readonly zones = new Map<string, ZoneDigest>()
  private readonly recordDigests = new Map<string, RecordDigest>()

  listZones (): string[] {
    return [...this.zones.keys()]
  }

  /** Eight bytes over the whole zone; two zones that differ have the same with a chance of 2^-64. */
  getZoneDigest (zone: string): Uint8Array<ArrayBuffer> {
    const digest = this.zones.get(zone)
    return encodeWords([digest?.zoneWord ?? 0, digest?.zoneCheckWord ?? 0])
  }

  /** Four bytes for each bucket. */
  getBucketDigests (zone: string): Uint8Array<ArrayBuffer> {
    return encodeWords(this.zones.get(zone)?.bucketWords ?? new Uint32Array(BUCKET_COUNT))
  }

  listHosts (zone: string, buckets?: Iterable<number>): string[] {
    const hosts = this.zones.get(zone)?.hosts ?? []
    if (buckets === undefined) return hosts.flatMap(bucket => [...bucket])
    return [...buckets].flatMap(bucket => [...(hosts[bucket] ?? [])])
  }

  /** Only the table calls this, with each record that it takes. */
  replace (record: HostRecord): void {
    this.remove(record.host)
    const counted = computeRecordDigest(record)
    const digest = this.getZone(record.zone)
    digest.apply(counted)
    digest.hosts[counted.bucket]?.add(record.host)
    this.recordDigests.set(record.host, counted)
  }

  /** Only the table calls this, with each host that it drops. */
  remove (host: string): void {
    const counted = this.recordDigests.get(host)
    if (counted === undefined) return
    const digest = this.getZone(counted.zone)
    digest.apply(counted)
    digest.hosts[counted.bucket]?.delete(host)
    this.recordDigests.delete(host)
  }

  private getZone (zone: string): ZoneDigest {
    const held = this.zones.get(zone)
    if (held !== undefined) return held
    const digest = new ZoneDigest()
    this.zones.set(zone, digest)
    return digest
  }
}

function computeRecordDigest (record: HostRecord): RecordDigest {
  const bytes = createHash('sha256').update(formatCanonicalJson(record)).digest()
  const bucket = createHash('sha256').update(record.host).digest().readUInt32BE(0) % BUCKET_COUNT
  return { zone: record.zone, bucket, word: bytes.readUInt32BE(0), checkWord: bytes.readUInt32BE(WORD_BYTES) }
}

function encodeWords (words: ArrayLike<number>): Uint8Array<ArrayBuffer> {
  const bytes = new DataView(new ArrayBuffer(words.length * WORD_BYTES))
  for (let index = 0; index < words.length; index += 1) bytes.setUint32(index * WORD_BYTES, words[index] ?? 0)
  return new Uint8Array(bytes.buffer)
}
