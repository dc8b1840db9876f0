/**
 * Connections for undici that remember how their peer ended them. Undici takes an answer whose end is
 * the end of its connection as whole, also after a reset or in the middle of chunks.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** `isReset`: the connection broke. `isEnded`: the peer sent its end. */
export interface LinkState { isReset: boolean, isEnded: boolean }

/** `state` is set before undici hears of the same event, since its listeners are added later. */
export function makeConnector (state: LinkState, timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket: Socket = connect({ host: hostname, port: Number(port), noDelay: true, keepAlive: true })
    const timer = setTimeout(() => { socket.destroy(makeTimeout(hostname, port)) }, timeoutMs)
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
      socket.on('end', () => { state.isEnded = true })
      callback(null, socket)
    })
  }
}

function makeTimeout (host: string, port: string): Error {
  return Object.assign(new Error(`no connection to ${host}:${port} in time`), { code: 'UND_ERR_CONNECT_TIMEOUT' })
}
