/**
 * Reads and watches over the platform's HTTP API. A watch is one streaming response with a JSON event per line.
 */
import { Err, Ok, describeError, readLines, readWholeText } from '../../core/index.js'
import type { Result } from '../../core/index.js'
import { convertErrorToFault, convertResponseToFault, exchange, MAX_RESPONSE_BYTES } from '../exchange.js'
import type { StoreResponse, StoreConnection } from '../exchange.js'
import { objectListSchema, storedObjectSchema, watchEventSchema } from '../schema.js'
import type { ObjectKind, ObjectList, StoredObject, StoreFault, WatchEvent } from '../schema.js'
import { StoreQueries } from '../store.js'

/** The store sends the response head of a watch immediately, before the first event. A missing head shows an unresponsive connection. */
const WATCH_HEAD_TIMEOUT_MS = 1_000

export class HttpStoreQueries extends StoreQueries {
  constructor (private readonly connection: StoreConnection) {
    super()
  }

  override async get (kind: ObjectKind, name: string): Promise<Result<StoredObject | undefined, StoreFault>> {
    const response = await exchange(this.connection, 'GET', `/v1/objects/${kind}/${encodeURIComponent(name)}`)
    if (response.err) return response
    if (response.val.status === 404) return Ok(undefined)
    return parseResponse(response.val, storedObjectSchema)
  }

  override async list (kind: ObjectKind): Promise<Result<ObjectList, StoreFault>> {
    const response = await exchange(this.connection, 'GET', `/v1/objects/${kind}`)
    return response.err ? response : parseResponse(response.val, objectListSchema)
  }

  override async * watch (kind: ObjectKind, from: number, signal: AbortSignal): AsyncIterable<Result<WatchEvent, StoreFault>> {
    const headTimeout = new AbortController()
    const timer = setTimeout(() => { headTimeout.abort(new Error('no response to a watch in time')) }, WATCH_HEAD_TIMEOUT_MS)
    try {
      const response = await this.connection.pool.request({
        method: 'GET', path: `/v1/watch/${kind}?from=${from}`, signal: AbortSignal.any([signal, headTimeout.signal]), bodyTimeout: 0
      })
      clearTimeout(timer)
      if (response.statusCode !== 200) {
        const text = await readWholeText(response.body, MAX_RESPONSE_BYTES)
        yield Err(convertResponseToFault({ status: response.statusCode, body: JSON.parse(text ?? '{}') }))
        return
      }
      for await (const line of readLines(response.body, MAX_RESPONSE_BYTES)) {
        if (line !== '') yield parseEvent(line)
      }
      if (!signal.aborted) yield Err({ code: 'unreachable', message: 'platform ended the watch' })
    } catch (error) {
      if (!signal.aborted) yield Err(convertErrorToFault(error))
    } finally {
      clearTimeout(timer)
    }
  }
}

function parseResponse<T> (response: StoreResponse, schema: { parse: (value: unknown) => T }): Result<T, StoreFault> {
  if (response.status !== 200) return Err(convertResponseToFault(response))
  try {
    return Ok(schema.parse(response.body))
  } catch (error) {
    return Err({ code: 'invalid', message: `platform response does not parse: ${describeError(error)}` })
  }
}

function parseEvent (line: string): Result<WatchEvent, StoreFault> {
  try {
    return Ok(watchEventSchema.parse(JSON.parse(line)))
  } catch (error) {
    return Err({ code: 'invalid', message: `platform watch event does not parse: ${describeError(error)}` })
  }
}
