/**
 * A TCP link with a delay in each direction, which can be cut. `reset` ends its connections and
 * refuses new ones; `silent` keeps them open and passes nothing on.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export type LinkState = 'up' | 'reset' | 'silent'

export interface LinkOptions {
  listen: { host: string, port: number }
  to: { host: string, port: number }
  delayMs: number
  onBytes: (bytes: number) => void
}

export class Forwarder {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private state: LinkState = 'up'

  constructor (private readonly options: LinkOptions) {
    this.server = createServer(socket => { this.join(socket) })
    this.server.on('error', () => {})
    this.server.listen(options.listen.port, options.listen.host)
    this.server.unref()
  }

  setState (state: LinkState): void {
    this.state = state
    if (state === 'reset') for (const socket of this.sockets) socket.destroy()
  }

  private join (near: Socket): void {
    if (this.state === 'reset') {
      near.destroy()
      return
    }
    const far = connect(this.options.to.port, this.options.to.host)
    this.pass(near, far)
    this.pass(far, near)
  }

  private pass (from: Socket, to: Socket): void {
    this.sockets.add(from)
    from.setNoDelay(true)
    from.on('data', chunk => {
      this.options.onBytes(chunk.length)
      this.after(() => { if (!to.destroyed) to.write(chunk) })
    })
    from.on('end', () => { this.after(() => { to.end() }) })
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      this.sockets.delete(from)
      this.after(() => { to.destroy() })
    })
  }

  private after (run: () => void): void {
    setTimeout(() => { if (this.state === 'up') run() }, this.options.delayMs)
  }
}
