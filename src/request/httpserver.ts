/**
 * The HTTP servers for requests of callers and nodes. The strict parser of Node.js reads the input; a request that
 * it rejects gets a response with a verdict like every other failure.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { v7 as makeUuid } from 'uuid'
import { makeFailure } from '../core/index.js'
import type { Failure } from '../core/index.js'
import { formatFailure } from './response.js'

/** A request head that takes longer is rejected, so that slow senders cannot occupy connections without a request. */
const HEAD_TIMEOUT_MS = 10_000
/**
 * Bounds the memory that a request head may take on any port. Above the limit for callers, since the caller-side node adds headers for
 * the target-side node, which must not reject a head that the caller was allowed to send.
 */
const MAX_HEAD_BYTES = 256 * 1024

const PARSER_FAILURES: Record<string, Failure> = {
  HPE_HEADER_OVERFLOW: makeFailure('not-run', 431, 'head_too_large', `request head exceeds ${MAX_HEAD_BYTES} bytes`),
  ERR_HTTP_REQUEST_TIMEOUT: makeFailure('not-run', 408, 'head_timeout', `no complete request head within ${HEAD_TIMEOUT_MS} ms`)
}
const MALFORMED = makeFailure('not-run', 400, 'malformed', 'the request does not parse')

export type RequestHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>

/** `onRejected` is called for each request that the parser rejects. */
export function createHttpServer (handleRequest: RequestHandler, onRejected: (failure: Failure) => void = () => {}): Server {
  const busySockets = new WeakSet<Duplex>()
  const server = createServer({ headersTimeout: HEAD_TIMEOUT_MS, requestTimeout: 0, maxHeaderSize: MAX_HEAD_BYTES, requireHostHeader: false })
  const handle = (message: IncomingMessage, response: ServerResponse): void => {
    const { socket } = message
    busySockets.add(socket)
    response.once('close', () => { busySockets.delete(socket) })
    handleRequest(message, response).catch(() => { socket.resetAndDestroy() })
  }
  server.on('request', handle)
  // `RequestBody` sends 100 Continue on its first read, after the request head has been accepted.
  server.on('checkContinue', handle)
  server.on('checkExpectation', handle)
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    // With a request in flight, a failure response on this connection would be taken for the response to that request.
    if (busySockets.has(socket) || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const failure = PARSER_FAILURES[error.code ?? ''] ?? MALFORMED
    onRejected(failure)
    writeRawFailure(socket, failure)
  })
  return server
}

function writeRawFailure (socket: Duplex, failure: Failure): void {
  const { headers, body } = formatFailure(failure, makeUuid())
  const lines = Object.entries({ ...headers, connection: 'close' }).map(([name, value]) => `${name}: ${value}\r\n`)
  socket.end(`HTTP/1.1 ${failure.status} ${failure.code}\r\n${lines.join('')}\r\n${body}`)
}
