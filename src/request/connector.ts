/**
 * Connections for undici that tell a reset from an end. Libuv reports the end of the stream when a
 * reset arrives together with the last data, and undici takes an answer without a length as whole at
 * the end of its connection. A write on a connection that was reset fails, on one that ended it does not.
 */
import { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Servers pass over an empty line before a request. */
const EMPTY_LINE = '\r\n'

/** `isReset`: the connection broke. `endsAnswer`: the answer that is being received ends with its connection. */
export interface ConnectionState { isReset: boolean, isCloseDelimited: boolean }

class ResetDetectingSocket extends Socket {
  constructor (private readonly state: ConnectionState) {
    super()
  }

  /** Holds the end of an answer back until a write has shown that it is no reset; a failed write ends the socket in an error. */
  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.state.isCloseDelimited) return super.push(chunk, encoding)
    this.write(EMPTY_LINE, error => {
      if (error === undefined || error === null) super.push(null)
    })
    return false
  }
}

/** `state` is set before undici hears of the same event, since its listeners are added later. */
export function makeConnector (state: ConnectionState, timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = new ResetDetectingSocket(state)
    const timer = setTimeout(() => { socket.destroy(makeTimeoutError(hostname, port)) }, timeoutMs)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      callback(error, null)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', fail)
      // Undici ends a connection with errors of its own, which have no error number.
      socket.on('error', error => { state.isReset ||= (error as NodeJS.ErrnoException).errno !== undefined })
      callback(null, socket)
    })
    socket.setNoDelay(true)
    socket.connect({ host: hostname, port: Number(port) })
  }
}

function makeTimeoutError (host: string, port: string): Error {
  return Object.assign(new Error(`no connection to ${host}:${port} in time`), { code: 'UND_ERR_CONNECT_TIMEOUT' })
}
