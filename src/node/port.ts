/**
 * An HTTP port that counts its requests in flight and can be closed without aborting any of them.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Failure } from '../core/index.js'
import { createHttpServer } from '../request/index.js'
import type { HttpHandler } from './http.js'
import { listenOn } from './http.js'
import { InFlightRequests } from './inflight.js'

export class HttpPort {
  readonly inFlight = new InFlightRequests()
  private readonly openResponses = new Set<ServerResponse>()
  private server: Server | undefined
  private isClosing = false

  constructor (private readonly handle: HttpHandler, private readonly onRejected?: (failure: Failure) => void) {}

  async listen (address: string): Promise<void> {
    this.server = await listenOn(address, createHttpServer(async (message, response) => {
      const served = this.serve(message, response)
      this.inFlight.track(served)
      await served
    }, this.onRejected))
  }

  /** Sets the maximum time to receive the headers of a request, and the maximum idle time of a connection. */
  setTimeouts (headerTimeoutMs: number, idleTimeoutMs: number): void {
    if (this.server === undefined) return
    this.server.headersTimeout = headerTimeoutMs
    this.server.keepAliveTimeout = idleTimeoutMs
  }

  /** From now on each response, also to a request in flight, asks the client to close its connection. */
  announceClose (): void {
    this.isClosing = true
    for (const response of this.openResponses) this.setConnectionClose(response)
  }

  /** Rejects new connections and closes idle ones. Requests in flight continue. */
  stopAccepting (): void {
    this.server?.close()
    this.server?.closeIdleConnections()
  }

  /** Closes all connections, also those with requests in flight. */
  closeAll (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  /** Resolves when the handler has ended, and the response has been sent or its connection is closed. */
  private async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const closed = new Promise(resolve => { response.once('close', resolve) })
    this.openResponses.add(response)
    if (this.isClosing) this.setConnectionClose(response)
    try {
      await this.handle(message, response)
      await closed
    } finally {
      this.openResponses.delete(response)
    }
  }

  /** Node.js then sends `connection: close` and closes the connection after the response. */
  private setConnectionClose (response: ServerResponse): void {
    if (!response.headersSent) response.shouldKeepAlive = false
  }
}
