/**
 * The gRPC server of a node: exchanges with peers, and queries and commands of operators.
 */
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerCredentials as Credentials, ServerInterceptor, ServerUnaryCall } from '@grpc/grpc-js'
import { describeError } from '../core/index.js'
import type { LendRequest, LendResponse } from '../quota/index.js'
import type { RolloutReport, RolloutResponse } from '../rollout/index.js'
import type { ExplainRequest, ExplainResponse } from '../request/index.js'
import type { Codec } from './codec.js'
import type {
  DrainResponse, DrainRequest, ExchangeResponse, ExchangeRequest, StatusResponse, StatusRequest, TimelineResponse, TimelineRequest
} from './messages.js'
import { defineOperatorCommands, defineOperatorQueries, definePeerMethods, defineQuotaMethods } from './services.js'

export interface PeerHandlers {
  exchange: (request: ExchangeRequest) => ExchangeResponse
  /** Absent where there are no rollouts. */
  report?: (report: RolloutReport) => RolloutResponse
  status: (request: StatusRequest) => StatusResponse
  timeline: (request: TimelineRequest) => TimelineResponse
  explain: (request: ExplainRequest) => ExplainResponse
  drain: (request: DrainRequest) => DrainResponse
  /** Absent if the deployment has no quotas. */
  lend?: (request: LendRequest) => Promise<LendResponse>
}

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

export const CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

function handleUnary<Q, A> (handle: (request: Q) => A) {
  return (call: ServerUnaryCall<Q, A>, callback: sendUnaryData<A>): void => {
    try {
      callback(null, handle(call.request))
    } catch (error) {
      callback({ code: status.INTERNAL, message: describeError(error) })
    }
  }
}

function handleUnaryLater<Q, A> (handle: (request: Q) => Promise<A>) {
  return (call: ServerUnaryCall<Q, A>, callback: sendUnaryData<A>): void => {
    handle(call.request).then(response => { callback(null, response) }, error => {
      callback({ code: status.INTERNAL, message: describeError(error) })
    })
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
  if (handlers.lend !== undefined) server.addService({ ...defineQuotaMethods(codec) }, { lend: handleUnaryLater(handlers.lend) })
  server.addService({ ...definePeerMethods(codec) }, {
    exchange: handleUnary(handlers.exchange), report: handleUnary<RolloutReport, RolloutResponse>(report => handlers.report?.(report) ?? {})
  })
  server.addService({ ...defineOperatorQueries(codec) }, {
    status: handleUnary(handlers.status), timeline: handleUnary(handlers.timeline), explain: handleUnary(handlers.explain)
  })
  server.addService({ ...defineOperatorCommands(codec) }, { drain: handleUnary(handlers.drain) })
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, credentials, error => { error === null ? resolve() : reject(error) })
  })
  return server
}
