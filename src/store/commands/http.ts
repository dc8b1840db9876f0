/**
 * Conditional writes and removals over the platform's HTTP API.
 */
import { z } from 'zod'
import { Err, Ok } from '../../core/index.js'
import type { Result } from '../../core/index.js'
import { convertStatus, exchange } from '../call.js'
import type { Connection } from '../call.js'
import { MAX_VALUE_BYTES } from '../schema.js'
import type { Removal, StoreFault, Write } from '../schema.js'
import { StoreCommands } from '../store.js'

const writtenSchema = z.object({ version: z.number().int().positive() })

export class HttpStoreCommands extends StoreCommands {
  constructor (private readonly connection: Connection) {
    super()
  }

  override async write (change: Write): Promise<Result<number, StoreFault>> {
    const size = Buffer.byteLength(JSON.stringify(change.value))
    if (size > MAX_VALUE_BYTES) return Err({ code: 'too-large', message: `value of ${size} bytes is above the platform's limit of ${MAX_VALUE_BYTES}` })
    const answer = await exchange(this.connection, 'PUT', formatPath(change), { expected: change.expected, value: change.value })
    if (answer.err) return answer
    if (answer.val.status !== 200) return Err(convertStatus(answer.val))
    const written = writtenSchema.safeParse(answer.val.body)
    return written.success ? Ok(written.data.version) : Err({ code: 'unknown', message: 'platform gave no version for a write' })
  }

  override async remove (removal: Removal): Promise<Result<undefined, StoreFault>> {
    const answer = await exchange(this.connection, 'DELETE', `${formatPath(removal)}?expected=${removal.expected}`)
    if (answer.err) return answer
    return answer.val.status === 200 ? Ok(undefined) : Err(convertStatus(answer.val))
  }
}

function formatPath ({ kind, name }: Pick<Write, 'kind' | 'name'>): string {
  return `/v1/objects/${kind}/${encodeURIComponent(name)}`
}
