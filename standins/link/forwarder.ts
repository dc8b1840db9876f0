/**
 * A TCP link that delays the bytes of each direction and can be cut. `reset` destroys its connections and
 * closes new ones; `silent` keeps the connections open and forwards nothing.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export type LinkState = 'up' | 'reset' | 'silent'

export interface LinkOptions {
  listen: { host: string, port: number }
  destination: { host: string, port: number }
  delayMs: number
  onBytes: (bytes: number) => void
}

export class Forwarder {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private state: LinkState = 'up'

  constructor (private readonly options: LinkOptions) {
    this.server = createServer(socket => { this.acceptSocket(socket) })
    this.server.on('error', () => {})
    this.server.listen(options.listen.port, options.listen.host)
    this.server.unref()
  }

  setState (state: LinkState): void {
    this.state = state
    if (state === 'reset') for (const socket of this.sockets) socket.destroy()
  }

  private acceptSocket (clientSocket: Socket): void {
    if (this.state === 'reset') {
      clientSocket.destroy()
      return
    }
    const serverSocket = connect(this.options.destination.port, this.options.destination.host)
    this.forward(clientSocket, serverSocket)
    this.forward(serverSocket, clientSocket)
  }

  private forward (from: Socket, to: Socket): void {
    this.sockets.add(from)
    from.setNoDelay(true)
    from.on('data', chunk => {
      this.options.onBytes(chunk.length)
      this.schedule(() => { if (!to.destroyed) to.write(chunk) })
    })
    from.on('end', () => { this.schedule(() => { to.end() }) })
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      this.sockets.delete(from)
      this.schedule(() => { to.destroy() })
    })
  }

  private schedule (action: () => void): void {
    setTimeout(() => { if (this.state === 'up') action() }, this.options.delayMs)
  }
}
