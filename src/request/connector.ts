/**
 * Connections for undici that distinguish a reset, and an end before the request was written, from the end of a response. Libuv
 * reports the end of the stream when a reset arrives together with the last data, and undici treats a close-delimited response as
 * complete at the end of its connection. A write fails on a connection that was reset, but not on a connection that was closed. A
 * target that ends its side while the request is still being written may have stopped in the middle of its response, so nothing
 * shows that a close-delimited one is complete.
 */
import { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Servers ignore an empty line before a request. */
const EMPTY_LINE = '\r\n'
const RESET_CODE = 'ECONNRESET'

/**
 * `isReset`: the connection failed. `isCloseDelimited`: the response that is being received ends with its connection.
 * `isRequestEnded`: undici has passed the last byte of the request to the socket.
 */
export interface ConnectionState { isReset: boolean, isCloseDelimited: boolean, isRequestEnded: boolean }

export function makeConnectionState (): ConnectionState {
  return { isReset: false, isCloseDelimited: false, isRequestEnded: false }
}

class ResetDetectingSocket extends Socket {
  constructor (private readonly state: ConnectionState) {
    super()
  }

  /**
   * Delays the end of a close-delimited response until a write shows that the connection was not reset; a failed write ends
   * the socket with an error, and so does an end before the operating system has taken the whole request.
   */
  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.state.isCloseDelimited) return super.push(chunk, encoding)
    if (!this.state.isRequestEnded || this.writableLength > 0) {
      this.state.isReset = true
      this.destroy(makeEarlyEndError())
      return false
    }
    this.write(EMPTY_LINE, error => {
      if (error === undefined || error === null) super.push(null)
    })
    return false
  }

  /**
   * Undici handles the code ECONNRESET as the possible end of a response on a connection that is not kept, and asserts then that its
   * parser is not paused. While a slow caller pauses the parser, that throws in the event handler and the response never ends.
   */
  override _destroy (error: NodeJS.ErrnoException | null, callback: (error?: Error | null) => void): void {
    super._destroy(error?.code === RESET_CODE ? makeResetError(error) : error, callback)
  }
}

/** `state` is set before undici handles the same event, since undici adds its listeners later. */
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
      // Undici destroys a connection with its own errors, which have no `errno`.
      socket.on('error', error => { state.isReset ||= (error as NodeJS.ErrnoException).errno !== undefined })
      callback(null, socket)
    })
    socket.setNoDelay(true)
    socket.connect({ host: hostname, port: Number(port) })
  }
}

/** Keeps `errno`, by which errors of the connection differ from those of undici. */
function makeResetError (error: NodeJS.ErrnoException): Error {
  return Object.assign(new Error(error.message, { cause: error }), { code: 'UND_ERR_SOCKET', errno: error.errno })
}

function makeEarlyEndError (): Error {
  return Object.assign(new Error('the connection ended before the request was written'), { code: 'UND_ERR_SOCKET' })
}

function makeTimeoutError (host: string, port: string): Error {
  return Object.assign(new Error(`no connection to ${host}:${port} in time`), { code: 'UND_ERR_CONNECT_TIMEOUT' })
}
