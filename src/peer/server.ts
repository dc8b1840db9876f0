/**
 * The gRPC server of a node: peers' streams and reads, operators' queries and commands.
 */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerCredentials as Credentials, ServerInterceptor, ServerUnaryCall } from '@grpc/grpc-js'
import { describeError } from '../core/index.js'
import type { Codec } from './codec.js'
import type { DrainAnswer, DrainRequest, FetchAnswer, FetchRequest, StatusAnswer, StatusRequest, TimelineAnswer, TimelineRequest } from './messages.js'
import { defineOperatorCommands, defineOperatorQueries, definePeerMethods } from './services.js'
import type { DownstreamCall } from './services.js'

export interface PeerHandlers {
  subscribe: (call: DownstreamCall) => Promise<void>
  fetch: (request: FetchRequest) => FetchAnswer
  status: (request: StatusRequest) => StatusAnswer
  timeline: (request: TimelineRequest) => TimelineAnswer
  drain: (request: DrainRequest) => DrainAnswer
}

const KEEPALIVE_MS = 2_000
const KEEPALIVE_TIMEOUT_MS = 1_000

export const CHANNEL_OPTIONS = {
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.max_receive_message_length': 64 * 1024 * 1024,
  'grpc.max_send_message_length': 64 * 1024 * 1024
}

function answerUnary<Q, A> (handle: (request: Q) => A) {
  return (call: ServerUnaryCall<Q, A>, callback: sendUnaryData<A>): void => {
    try {
      callback(null, handle(call.request))
    } catch (error) {
      callback({ code: status.INTERNAL, message: describeError(error) })
    }
  }
}

export async function startPeerServer (
  address: string,
  codec: Codec,
  handlers: PeerHandlers,
  credentials: Credentials = ServerCredentials.createInsecure(),
  interceptors: ServerInterceptor[] = []
): Promise<Server> {
  const server = new Server({ ...CHANNEL_OPTIONS, interceptors })
  server.addService({ ...definePeerMethods(codec) }, {
    subscribe: (call: DownstreamCall) => { handlers.subscribe(call).catch(() => { call.end() }) },
    fetch: answerUnary(handlers.fetch)
  })
  server.addService({ ...defineOperatorQueries(codec) }, {
    status: answerUnary(handlers.status), timeline: answerUnary(handlers.timeline)
  })
  server.addService({ ...defineOperatorCommands(codec) }, { drain: answerUnary(handlers.drain) })
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, credentials, error => { error === null ? resolve() : reject(error) })
  })
  return server
}
