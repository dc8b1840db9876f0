/**
 * The object store client for the platform's HTTP API.
 */
import { Agent } from 'undici'
import { HttpStoreCommands } from './commands/http.js'
import { HttpStoreQueries } from './queries/http.js'
import { ObjectStore } from './store.js'

const REQUEST_TIMEOUT_MS = 2_000

export class HttpObjectStore extends ObjectStore {
  readonly queries: HttpStoreQueries
  readonly commands: HttpStoreCommands
  private readonly agent = new Agent({ connections: 32 })

  constructor (origin: string, timeoutMs = REQUEST_TIMEOUT_MS) {
    super()
    const connection = { origin, agent: this.agent, timeoutMs }
    this.queries = new HttpStoreQueries(connection)
    this.commands = new HttpStoreCommands(connection)
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }
}
