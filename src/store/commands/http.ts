/**
 * Conditional writes and removals over the platform's HTTP API.
 */
import * as z from 'zod'
import { Err, Ok } from '../../core/index.js'
import type { Result } from '../../core/index.js'
import { convertResponseToFault, exchange } from '../exchange.js'
import type { StoreConnection } from '../exchange.js'
import { MAX_VALUE_BYTES } from '../schema.js'
import type { Removal, StoreFault, Write } from '../schema.js'
import { StoreCommands } from '../store.js'

const writeResponseSchema = z.object({ version: z.number().int().positive() })

export class HttpStoreCommands extends StoreCommands {
  constructor (private readonly connection: StoreConnection) {
    super()
  }

  override async write (change: Write): Promise<Result<number, StoreFault>> {
    const size = Buffer.byteLength(JSON.stringify(change.value))
    if (size > MAX_VALUE_BYTES) return Err({ code: 'too-large', message: `value of ${size} bytes exceeds the platform's limit of ${MAX_VALUE_BYTES}` })
    const response = await exchange(this.connection, 'PUT', formatPath(change), { expected: change.expected, value: change.value })
    if (response.err) return response
    if (response.val.status !== 200) return Err(convertResponseToFault(response.val))
    const written = writeResponseSchema.safeParse(response.val.body)
    return written.success ? Ok(written.data.version) : Err({ code: 'unknown', message: 'platform response to a write has no version' })
  }

  override async remove (removal: Removal): Promise<Result<undefined, StoreFault>> {
    const response = await exchange(this.connection, 'DELETE', `${formatPath(removal)}?expected=${removal.expected}`)
    if (response.err) return response
    return response.val.status === 200 ? Ok(undefined) : Err(convertResponseToFault(response.val))
  }
}

function formatPath ({ kind, name }: Pick<Write, 'kind' | 'name'>): string {
  return `/v1/objects/${kind}/${encodeURIComponent(name)}`
}
