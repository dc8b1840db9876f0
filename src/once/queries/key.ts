/**
 * The time of an idempotency key, which decides where its claim is and whether it can still be looked up.
 */
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { KEY_MAX_AGE_MS, KEY_MAX_AHEAD_MS, MAX_KEY_CHARACTERS } from '../schema.js'

export interface KeyText {
  key: string | undefined
  /** Text of `x-comfreyspoke-key-time`: milliseconds since the Unix epoch, or an ISO 8601 time. */
  time: string | undefined
  /** The document lets callers give the time in a header. */
  allowsTime: boolean
}

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const KEY_CHARACTERS = /^[\x21-\x7e]+$/

/** Gives the key's time in ms. A UUIDv7 carries its own, and a header cannot change it. */
export function readKeyTime ({ key, time, allowsTime }: KeyText, now: number): Result<number, Failure> {
  if (key === undefined || key === '') return refuse(400, 'no_key', 'this route needs an idempotency-key header')
  if (key.length > MAX_KEY_CHARACTERS || !KEY_CHARACTERS.test(key)) {
    return refuse(400, 'bad_key', `an idempotency key has 1 to ${MAX_KEY_CHARACTERS} printable ASCII characters without spaces`)
  }
  const timeMs = UUID_V7.test(key) ? parseUuidTime(key) : allowsTime ? parseTime(time) : undefined
  if (timeMs === undefined) {
    const needed = allowsTime ? 'a UUIDv7, or come with x-comfreyspoke-key-time' : 'a UUIDv7'
    return refuse(400, 'key_without_time', `the idempotency key must be ${needed}`)
  }
  return checkKeyTime(timeMs, now)
}

export function checkKeyTime (timeMs: number, now: number): Result<number, Failure> {
  if (now - timeMs > KEY_MAX_AGE_MS) return refuse(410, 'key_too_old', 'the idempotency key is older than 23 hours')
  if (timeMs - now > KEY_MAX_AHEAD_MS) return refuse(400, 'key_in_future', 'the idempotency key is more than 5 minutes in the future')
  return Ok(timeMs)
}

function refuse (status: number, code: string, message: string): Result<number, Failure> {
  return Err(makeFailure('not-run', status, code, message))
}

function parseUuidTime (key: string): number {
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16)
}

function parseTime (text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  const value = /^\d{1,15}$/.test(text) ? Number(text) : Date.parse(text)
  return Number.isSafeInteger(value) && value >= 0 ? value : undefined
}
