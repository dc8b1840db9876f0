/**
 * Addresses of servers, as `ip:port`.
 */
import { isIPv4 } from 'node:net'
import * as z from 'zod'

const MAX_PORT = 65_535
const PORT = /^[0-9]{1,5}$/

/** An address to which a connection can be opened: to open one to any other text may throw, or look up a name. */
function isAddress (text: string): boolean {
  const separator = text.lastIndexOf(':')
  const port = text.slice(separator + 1)
  return isIPv4(text.slice(0, separator)) && PORT.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT
}

export const addressSchema = z.string().refine(isAddress, 'must be ip:port')
