/**
 * Reads and watches over the platform's HTTP API. A watch is one streaming answer with a JSON event per line.
 */
import { createInterface } from 'node:readline'
import { request } from 'undici'
import { Err, Ok, describeError } from '../../core/index.js'
import type { Result } from '../../core/index.js'
import { convertError, convertStatus, exchange } from '../call.js'
import type { Answer, Connection } from '../call.js'
import { objectListSchema, storedObjectSchema, watchEventSchema } from '../schema.js'
import type { ObjectKind, ObjectList, StoredObject, StoreFault, WatchEvent } from '../schema.js'
import { StoreQueries } from '../store.js'

/** The store answers a watch at once, before there is an event; a connection that went silent does not. */
const WATCH_HEAD_MS = 1_000

export class HttpStoreQueries extends StoreQueries {
  constructor (private readonly connection: Connection) {
    super()
  }

  override async get (kind: ObjectKind, name: string): Promise<Result<StoredObject | undefined, StoreFault>> {
    const answer = await exchange(this.connection, 'GET', `/v1/objects/${kind}/${encodeURIComponent(name)}`)
    if (answer.err) return answer
    if (answer.val.status === 404) return Ok(undefined)
    return parseAnswer(answer.val, storedObjectSchema)
  }

  override async list (kind: ObjectKind): Promise<Result<ObjectList, StoreFault>> {
    const answer = await exchange(this.connection, 'GET', `/v1/objects/${kind}`)
    return answer.err ? answer : parseAnswer(answer.val, objectListSchema)
  }

  override async * watch (kind: ObjectKind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>> {
    const head = new AbortController()
    const timer = setTimeout(() => { head.abort(new Error('no answer to a watch in time')) }, WATCH_HEAD_MS)
    try {
      const answer = await request(`${this.connection.origin}/v1/watch/${kind}?from=${from}`, {
        dispatcher: this.connection.agent, signal: AbortSignal.any([signal, head.signal]), bodyTimeout: 0
      })
      clearTimeout(timer)
      if (answer.statusCode !== 200) {
        yield Err(convertStatus({ status: answer.statusCode, body: await answer.body.json() }))
        return
      }
      for await (const line of createInterface({ input: answer.body })) {
        if (line !== '') yield parseEvent(line)
      }
      if (!signal.aborted) yield Err({ code: 'unreachable', message: 'platform ended the watch' })
    } catch (error) {
      if (!signal.aborted) yield Err(convertError(error))
    } finally {
      clearTimeout(timer)
    }
  }
}

function parseAnswer<T> (answer: Answer, schema: { parse: (value: unknown) => T }): Result<T, StoreFault> {
  if (answer.status !== 200) return Err(convertStatus(answer))
  try {
    return Ok(schema.parse(answer.body))
  } catch (error) {
    return Err({ code: 'invalid', message: `platform's answer does not parse: ${describeError(error)}` })
  }
}

function parseEvent (line: string): Result<WatchEvent, StoreFault> {
  try {
    return Ok(watchEventSchema.parse(JSON.parse(line)))
  } catch (error) {
    return Err({ code: 'invalid', message: `platform's event does not parse: ${describeError(error)}` })
  }
}
