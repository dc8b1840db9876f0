/**
 * One HTTP port whose requests in flight are counted and which can be closed without cutting one.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createHttpServer } from '../request/index.js'
import type { HttpHandler } from './http.js'
import { listenOn } from './http.js'
import { InFlightRequests } from './inflight.js'

export class HttpPort {
  readonly inFlight = new InFlightRequests()
  private readonly openResponses = new Set<ServerResponse>()
  private server: Server | undefined
  private isClosing = false

  constructor (private readonly handle: HttpHandler) {}

  async listen (address: string): Promise<void> {
    this.server = await listenOn(address, createHttpServer(async (message, response) => {
      const served = this.serve(message, response)
      this.inFlight.track(served)
      await served
    }))
  }

  /** Longest time for a head to come in, and for a connection to stay open without a request. */
  setTimeouts (headMs: number, idleMs: number): void {
    if (this.server === undefined) return
    this.server.headersTimeout = headMs
    this.server.keepAliveTimeout = idleMs
  }

  /** From now on each answer, also to a request in flight, asks the client to close its connection. */
  announceClose (): void {
    this.isClosing = true
    for (const response of this.openResponses) this.setConnectionClose(response)
  }

  /** Refuses new connections and ends those without a request; requests in flight go on. */
  stopAccepting (): void {
    this.server?.close()
    this.server?.closeIdleConnections()
  }

  /** Cuts what is still open. */
  closeAll (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  /** Ends when the handler has ended and the answer has left, or its connection is gone. */
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

  /** Node then writes `connection: close` and ends the connection after the answer. */
  private setConnectionClose (response: ServerResponse): void {
    if (!response.headersSent) response.shouldKeepAlive = false
  }
}
