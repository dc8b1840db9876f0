/**
 * Checks whether a process still accepts connections.
 */
import { connect } from 'node:net'

const PROBE_TIMEOUT_MS = 500

/** Resolves to true only if the connection is refused. A timeout may come from a busy process or a broken network link. */
export async function isConnectionRefused (address: string): Promise<boolean> {
  const colon = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), timeout: PROBE_TIMEOUT_MS })
    const end = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.on('connect', () => { end(false) })
    socket.on('timeout', () => { end(false) })
    socket.on('error', error => { end((error as { code?: unknown }).code === 'ECONNREFUSED') })
  })
}
