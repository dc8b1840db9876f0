/**
 * Digests of the records of each zone, updated as records change, so that two nodes find the records
 * in which they differ without sending them all. A zone has BUCKET_COUNT buckets, and a host is always
 * in the same bucket. A digest is the exclusive-or of the hashes of its records, so replacing a record
 * takes two operations.
 */
import { createHash } from 'node:crypto'
import { formatCanonicalJson, getOrMake } from '../core/index.js'
import type { HostRecord } from './schema.js'

/** In a zone of 2,636 hosts, about ten records share a bucket. The bucket digests of a zone take 1 KiB. */
export const BUCKET_COUNT = 256
const WORD_BYTES = 4

interface RecordDigest { zone: string, bucket: number, word: number, checkWord: number }

class ZoneDigest {
  readonly bucketWords = new Uint32Array(BUCKET_COUNT)
  readonly hosts: ReadonlyArray<Set<string>> = Array.from({ length: BUCKET_COUNT }, () => new Set<string>())
  zoneWord = 0
  zoneCheckWord = 0

  apply ({ bucket, word, checkWord }: RecordDigest): void {
    this.bucketWords[bucket] = (this.bucketWords[bucket] ?? 0) ^ word
    this.zoneWord ^= word
    this.zoneCheckWord ^= checkWord
  }
}

export class MemberDigests {
  private readonly zones = new Map<string, ZoneDigest>()
  private readonly recordDigests = new Map<string, RecordDigest>()

  listZones (): string[] {
    return [...this.zones.keys()]
  }

  /** Returns eight bytes for the whole zone. Two zones that differ have the same digest with a probability of 2^-64. */
  getZoneDigest (zone: string): Uint8Array<ArrayBuffer> {
    const digest = this.zones.get(zone)
    return encodeWords([digest?.zoneWord ?? 0, digest?.zoneCheckWord ?? 0])
  }

  /** Returns four bytes for each bucket. */
  getBucketDigests (zone: string): Uint8Array<ArrayBuffer> {
    return encodeWords(this.zones.get(zone)?.bucketWords ?? new Uint32Array(BUCKET_COUNT))
  }

  listHosts (zone: string, buckets?: Iterable<number>): string[] {
    const hosts = this.zones.get(zone)?.hosts ?? []
    if (buckets === undefined) return hosts.flatMap(bucket => [...bucket])
    return [...buckets].flatMap(bucket => [...(hosts[bucket] ?? [])])
  }

  /** Only MemberTable calls this, with each record that it stores. */
  replace (record: HostRecord): void {
    this.remove(record.host)
    const recordDigest = computeRecordDigest(record)
    const zoneDigest = this.getOrCreateZone(record.zone)
    zoneDigest.apply(recordDigest)
    zoneDigest.hosts[recordDigest.bucket]?.add(record.host)
    this.recordDigests.set(record.host, recordDigest)
  }

  /** Only MemberTable calls this, with each host that it removes. */
  remove (host: string): void {
    const recordDigest = this.recordDigests.get(host)
    if (recordDigest === undefined) return
    const zoneDigest = this.getOrCreateZone(recordDigest.zone)
    zoneDigest.apply(recordDigest)
    zoneDigest.hosts[recordDigest.bucket]?.delete(host)
    this.recordDigests.delete(host)
  }

  private getOrCreateZone (zone: string): ZoneDigest {
    return getOrMake(this.zones, zone, () => new ZoneDigest())
  }
}

function computeRecordDigest (record: HostRecord): RecordDigest {
  const hash = createHash('sha256').update(formatCanonicalJson(record)).digest()
  const bucket = createHash('sha256').update(record.host).digest().readUInt32BE(0) % BUCKET_COUNT
  return { zone: record.zone, bucket, word: hash.readUInt32BE(0), checkWord: hash.readUInt32BE(WORD_BYTES) }
}

function encodeWords (words: ArrayLike<number>): Uint8Array<ArrayBuffer> {
  const bytes = new DataView(new ArrayBuffer(words.length * WORD_BYTES))
  for (let index = 0; index < words.length; index += 1) bytes.setUint32(index * WORD_BYTES, words[index] ?? 0)
  return new Uint8Array(bytes.buffer)
}
