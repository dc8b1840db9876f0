/**
 * How a target of the soak responds: as it should, or in one of the ways of a faulty target.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Random } from '../../src/core/index.js'

/** A request that the target has run, with the response that it should get. */
export interface RunRequest { socket: Socket, response: ServerResponse, headers: Record<string, string | number>, body: string, random: Random }

const MAX_LATE_MS = 30
const ENDLESS_CHUNK = Buffer.alloc(16 * 1024, 'a')

export abstract class ResponseBehaviour {
  /** Returns false if the target rejects the request on this connection instead of running it. */
  admit (_socket: Socket, _id: string, _random: Random): boolean {
    return true
  }

  /** Called when the target begins to run a request. */
  begin (_socket: Socket): void {}

  abstract respond (request: RunRequest): void
}

export class CorrectResponse extends ResponseBehaviour {
  override respond ({ response, headers, body }: RunRequest): void {
    response.writeHead(200, headers).end(body)
  }
}

/** Rejects each request, as a target does that is full. */
export class Rejection extends CorrectResponse {
  override admit (): boolean {
    return false
  }
}

/** Rejects the first request on a connection, and writes that rejection once more while it runs each later one. */
export class RepeatedRefusal extends CorrectResponse {
  private readonly refusals = new WeakMap<Socket, string>()

  override admit (socket: Socket, id: string, random: Random): boolean {
    if (this.refusals.has(socket)) return true
    const idHeader = random.next() < 0.5 ? `x-attempt-id: ${id}\r\n` : ''
    this.refusals.set(socket, `HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n${idHeader}content-length: 0\r\n\r\n`)
    return false
  }

  override begin (socket: Socket): void {
    socket.write(this.refusals.get(socket) ?? '')
  }
}

/** Writes the response once more, a moment later. */
export class SecondResponse extends CorrectResponse {
  override respond (request: RunRequest): void {
    const { socket, response, headers, body, random } = request
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    response.once('finish', () => {
      setTimeout(() => { if (socket.writable) socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n${body}`) }, random.pickIndex(MAX_LATE_MS))
    })
    super.respond(request)
  }
}

export class LostResponse extends ResponseBehaviour {
  override respond ({ socket }: RunRequest): void {
    socket.resetAndDestroy()
  }
}

export class MalformedResponse extends ResponseBehaviour {
  override respond ({ socket }: RunRequest): void {
    socket.write('what?\r\n\r\n')
    socket.end()
  }
}

export class TruncatedResponse extends ResponseBehaviour {
  override respond ({ socket, response, headers, body }: RunRequest): void {
    response.writeHead(200, headers)
    response.write(body.slice(0, body.length / 2))
    setTimeout(() => { socket.destroy() }, 1)
  }
}

/** Sends bytes of a header until the connection is closed. */
export class EndlessResponse extends ResponseBehaviour {
  override respond ({ socket }: RunRequest): void {
    socket.write('HTTP/1.1 200 OK\r\nx-long: ')
    this.writeNext(socket)
  }

  private writeNext (socket: Socket): void {
    if (!socket.writable) return
    socket.write(ENDLESS_CHUNK, error => { if (error === undefined || error === null) setImmediate(() => { this.writeNext(socket) }) })
  }
}

export class NoResponse extends ResponseBehaviour {
  override respond (): void {}
}
