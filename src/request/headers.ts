/**
 * Which headers pass from one side to the other.
 */
import type { IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

export type Headers = Record<string, string | string[]>

/** Drops hop-by-hop headers and those that `connection` names. */
export function filterHeaders (headers: IncomingHttpHeaders): Headers {
  const named = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const kept: Headers = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_BY_HOP.has(name) && !named.has(name)) kept[name] = value
  }
  return kept
}
