/**
 * Turns messages into bytes and back. A message is checked against its schema before anything sees it.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'
import { decode, encode } from '@msgpack/msgpack'
import type { z } from 'zod'

export abstract class Codec {
  abstract encode (message: unknown): Buffer
  /** Throws when the bytes do not hold a message of the schema. */
  abstract decode<T> (bytes: Buffer, schema: z.ZodType<T>): T
}

const PLAIN = 0
const DEFLATED = 1
/** A peer cannot make this process hold more than this by a small message. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Field names and values that occur in documents and records; both ends must have the same text. */
const WORDS = [
  'idempotent', 'plain', 'critical', 'normal', 'bulk', 'maxBodyBytes', 'deadlineMs', 'methods', 'GET', 'POST',
  'labels', 'weight', 'connections', 'slots', 'queue', 'attempts', 'budgetPercent', 'minPerSecond', 'same-first',
  'incarnation', 'sequence', 'inbound', 'region', 'targets', 'announcement', 'address', '127.0.', 'starting', 'leaving',
  'serving', 'ready', 'gone', 'records', 'acceptedAt', 'version', 'service', 'hash'
]

/**
 * Messages as they are encoded, without their values. Deflate replaces what a message shares with
 * them by short references, so field names cost little. The most frequent come last, where
 * references are shortest.
 */
const SAMPLES: unknown[] = [
  { version: 1, configuration: { version: 1, entries: [], replacesAll: true } },
  { service: '', version: 1, acceptedAt: 0, hash: '', document: { service: '', routes: {}, limits: {}, retries: {}, zones: 'same-first', needs: [] } },
  { host: '', version: 1, zones: {}, records: [], marks: [], cleared: [], stamp: { wall: 1.7e12, counter: 0 } },
  { version: 1, records: [], differing: [], buckets: {}, stamp: { wall: 1.7e12, counter: 0 } }
]

const IS_PLAIN = Buffer.from([PLAIN])
const IS_DEFLATED = Buffer.from([DEFLATED])
const DICTIONARY = Buffer.concat([Buffer.from(WORDS.join(' ')), ...SAMPLES.map(sample => encode(sample))])

export class MsgpackCodec extends Codec {
  override encode (message: unknown): Buffer {
    const plain = encode(message, { ignoreUndefined: true })
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
