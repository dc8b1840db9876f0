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
/** Below this size deflate costs more time than the bytes are worth. */
const DEFLATE_FROM_BYTES = 128
/** A peer cannot make this process hold more than this by a small message. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Field names and values that occur in most messages; both ends must have the same text. */
const DICTIONARY = Buffer.from([
  'idempotent', 'once', 'plain', 'critical', 'normal', 'bulk', 'maxBodyBytes', 'deadlineMs', 'methods', 'GET', 'POST',
  'labels', 'weight', 'connections', 'slots', 'queue', 'attempts', 'budgetPercent', 'minPerSecond', 'same-first',
  'incarnation', 'sequence', 'inbound', 'region', 'targets', 'announcement', 'address', '127.0.', 'starting', 'leaving',
  'serving', 'ready', 'lost', 'members', 'records', 'acceptedAt', 'version', 'service', 'update', 'patch', 'hash', 'type'
].join(' '))

export class MsgpackCodec extends Codec {
  override encode (message: unknown): Buffer {
    const plain = encode(message, { ignoreUndefined: true })
    if (plain.byteLength < DEFLATE_FROM_BYTES) return Buffer.concat([Buffer.from([PLAIN]), plain])
    return Buffer.concat([Buffer.from([DEFLATED]), deflateRawSync(plain, { dictionary: DICTIONARY, level: constants.Z_BEST_SPEED })])
  }

  override decode<T> (bytes: Buffer, schema: z.ZodType<T>): T {
    const body = bytes.subarray(1)
    const plain = bytes[0] === DEFLATED
      ? inflateRawSync(body, { dictionary: DICTIONARY, maxOutputLength: MAX_MESSAGE_BYTES })
      : body
    return schema.parse(decode(plain))
  }
}
