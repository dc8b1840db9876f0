/**
 * A loopback proxy in front of one address. A silent direction keeps its bytes until the link heals, as a partition does, and a reset
 * link closes its connections and refuses new ones.
 */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export type ProxyState = 'up' | 'slow' | 'silent' | 'one-way' | 'reset'

const SLOW_DELAY_MS = 120

interface Pair { downstream: Socket, upstream: Socket }

export class FaultProxy {
  private readonly server: Server
  private readonly pairs = new Set<Pair>()
  private state: ProxyState = 'up'

  constructor (private readonly destination: string) {
    this.server = createServer({ pauseOnConnect: true }, socket => { this.acceptSocket(socket) })
  }

  async listen (address: string): Promise<void> {
    const [host, port] = address.split(':')
    this.server.listen(Number(port), host)
    await once(this.server, 'listening')
  }

  setState (state: ProxyState): void {
    this.state = state
    for (const pair of this.pairs) {
      if (state === 'reset') resetPair(pair)
      else this.applyState(pair)
    }
  }

  close (): void {
    for (const pair of this.pairs) resetPair(pair)
    this.server.close()
  }

  private acceptSocket (downstream: Socket): void {
    if (this.state === 'reset') {
      downstream.on('error', () => {}).resetAndDestroy()
      return
    }
    const [host, port] = this.destination.split(':')
    const upstream = connect(Number(port), host)
    const pair = { downstream, upstream }
    this.pairs.add(pair)
    for (const socket of [downstream, upstream]) {
      socket.setNoDelay(true)
      socket.on('error', () => { resetPair(pair) })
      socket.on('close', () => {
        this.pairs.delete(pair)
        endOther(pair, socket)
      })
    }
    this.forward(downstream, upstream)
    this.forward(upstream, downstream)
    this.applyState(pair)
  }

  private forward (from: Socket, to: Socket): void {
    from.on('data', chunk => {
      const write = (): void => { if (to.writable) to.write(chunk) }
      if (this.state === 'slow') setTimeout(write, SLOW_DELAY_MS)
      else write()
    })
  }

  /** What a paused socket sends stays in the buffers of the kernel. */
  private applyState ({ downstream, upstream }: Pair): void {
    if (this.state === 'silent') downstream.pause()
    else downstream.resume()
    if (this.state === 'silent' || this.state === 'one-way') upstream.pause()
    else upstream.resume()
  }
}

function resetPair ({ downstream, upstream }: Pair): void {
  downstream.resetAndDestroy()
  upstream.resetAndDestroy()
}

/** Passes the end of one side on. Data that is still delayed is lost, as with a reset. */
function endOther ({ downstream, upstream }: Pair, ended: Socket): void {
  const other = ended === downstream ? upstream : downstream
  if (ended.errored === null) other.end()
  else other.resetAndDestroy()
}
