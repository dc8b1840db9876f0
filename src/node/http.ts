/**
 * HTTP servers of a node, one for each port.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'

export type HttpHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>

const HEADERS_TIMEOUT_MS = 10_000

export function splitAddress (address: string): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

export async function startServer (address: string, handle: HttpHandler): Promise<Server> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: 0 }, (message, response) => {
    handle(message, response).catch(() => { response.destroy() })
  })
  return await listenOn(address, server)
}

export async function listenOn (address: string, server: Server): Promise<Server> {
  const { host, port } = splitAddress(address)
  server.listen(port, host)
  await once(server, 'listening')
  return server
}

export function writeJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
