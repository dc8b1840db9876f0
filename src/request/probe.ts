/**
 * Whether a process still accepts connections.
 */
import { connect } from 'node:net'

const PROBE_TIMEOUT_MS = 500

/** Only a refusal counts: a time-out can be a busy process or a cut link. */
export async function isConnectionRefused (address: string): Promise<boolean> {
  const at = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)), timeout: PROBE_TIMEOUT_MS })
    const end = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.on('connect', () => { end(false) })
    socket.on('timeout', () => { end(false) })
    socket.on('error', error => { end((error as { code?: unknown }).code === 'ECONNREFUSED') })
  })
}
