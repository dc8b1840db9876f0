/**
 * The object store client for the platform's HTTP API.
 */
import { Pool } from '../core/undici.js'
import { HttpStoreCommands } from './commands/http.js'
import { HttpStoreQueries } from './queries/http.js'
import { ObjectStore } from './store.js'

const REQUEST_TIMEOUT_MS = 2_000
const MAX_CONNECTIONS = 32

export class HttpObjectStore extends ObjectStore {
  readonly queries: HttpStoreQueries
  readonly commands: HttpStoreCommands
  private readonly pool: Pool

  constructor (origin: string, timeoutMs = REQUEST_TIMEOUT_MS) {
    super()
    this.pool = new Pool(origin, { connections: MAX_CONNECTIONS })
    const connection = { pool: this.pool, timeoutMs }
    this.queries = new HttpStoreQueries(connection)
    this.commands = new HttpStoreCommands(connection)
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}
