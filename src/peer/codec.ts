/**
 * Encodes and decodes messages. A decoded message is validated against its schema before any other code sees it.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'
import { decode, encode } from '@msgpack/msgpack'
import type * as z from 'zod'

export abstract class Codec {
  abstract encode (message: unknown): Buffer
  /** Throws when the bytes do not contain a message that matches the schema. */
  abstract decode<T> (bytes: Buffer, schema: z.ZodType<T>): T
}

const PLAIN = 0
const DEFLATED = 1
/** Limits the decompressed size, so that a small compressed message of a peer cannot exhaust the memory of this process. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024
/**
 * Shorter messages, as of an exchange in which nothing differs, are sent as they are: compression would save about a hundred bytes
 * and cost more processor time than the encoding.
 */
const MIN_DEFLATED_BYTES = 512

/** Field names and values that are frequent in documents and records. Both ends of a connection need the same list. */
const WORDS = [
  'idempotent', 'plain', 'critical', 'normal', 'bulk', 'maxBodyBytes', 'deadlineMs', 'methods', 'GET', 'POST',
  'labels', 'weight', 'connections', 'slots', 'queue', 'attempts', 'budgetPercent', 'minPerSecond', 'same-first',
  'incarnation', 'sequence', 'inbound', 'region', 'targets', 'announcement', 'address', '127.0.', 'starting', 'leaving',
  'serving', 'ready', 'gone', 'records', 'acceptedAt', 'version', 'service', 'hash'
]

/**
 * Skeletons of the messages, which are encoded into the deflate dictionary. Deflate replaces the parts that
 * a message shares with the dictionary by back-references, so field names take little space. The most
 * frequent messages come last, because the shortest distances have the shortest encoding.
 */
const SAMPLES: unknown[] = [
  { version: 1, configuration: { version: 1, entries: [], replacesAll: true } },
  { service: '', version: 1, acceptedAt: 0, hash: '', document: { service: '', routes: {}, limits: {}, retries: {}, zones: 'same-first', needs: [] } },
  { host: '', version: 1, zones: {}, records: [], cleared: [], stamp: { wall: 1.7e12, counter: 0 } },
  { version: 1, records: [], differing: [], buckets: {}, stamp: { wall: 1.7e12, counter: 0 } }
]

const IS_PLAIN = Buffer.from([PLAIN])
const IS_DEFLATED = Buffer.from([DEFLATED])
const DICTIONARY = Buffer.concat([Buffer.from(WORDS.join(' ')), ...SAMPLES.map(sample => encode(sample))])

export class MsgpackCodec extends Codec {
  override encode (message: unknown): Buffer {
    const plain = encode(message, { ignoreUndefined: true })
    if (plain.byteLength < MIN_DEFLATED_BYTES) return Buffer.concat([IS_PLAIN, plain])
    const deflated = deflateRawSync(plain, { dictionary: DICTIONARY, level: constants.Z_BEST_SPEED })
    return deflated.byteLength < plain.byteLength ? Buffer.concat([IS_DEFLATED, deflated]) : Buffer.concat([IS_PLAIN, plain])
  }

  override decode<T> (bytes: Buffer, schema: z.ZodType<T>): T {
    const body = bytes.subarray(1)
    const plain = bytes[0] === DEFLATED
      ? inflateRawSync(body, { dictionary: DICTIONARY, maxOutputLength: MAX_MESSAGE_BYTES })
      : body
    return schema.parse(decode(plain))
  }
}
