/**
 * The gRPC service between nodes: one call that compares and brings.
 */
import { Client, credentials, Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { MethodDefinition, sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { describeError, Err, makeFault, Ok } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { Codec } from '../peer/codec.js'
import { exchangeAnswerSchema, exchangeRequestSchema } from './messages.js'
import type { ExchangeAnswer, ExchangeRequest } from './messages.js'

const CALL_TIMEOUT_MS = 1_000
const OPTIONS = { 'grpc.max_receive_message_length': 64 * 1024 * 1024, 'grpc.use_local_subchannel_pool': 1, 'grpc.enable_http_proxy': 0 }

function defineExchange (codec: Codec): MethodDefinition<ExchangeRequest, ExchangeAnswer> {
  return {
    path: '/comfreyspoke.Mesh/Exchange',
    requestStream: false,
    responseStream: false,
    requestSerialize: message => codec.encode(message),
    requestDeserialize: bytes => codec.decode(bytes, exchangeRequestSchema),
    responseSerialize: message => codec.encode(message),
    responseDeserialize: bytes => codec.decode(bytes, exchangeAnswerSchema)
  }
}

export class PeerLinks {
  private readonly clients = new Map<string, Client>()
  private readonly method: MethodDefinition<ExchangeRequest, ExchangeAnswer>

  constructor (codec: Codec) {
    this.method = defineExchange(codec)
  }

  /** A connection on which a call failed is not used again, since it may have gone silent. */
  async exchange (address: string, request: ExchangeRequest): Promise<Result<ExchangeAnswer, Fault>> {
    const { path, requestSerialize, responseDeserialize } = this.method
    return await new Promise(resolve => {
      this.getClient(address).makeUnaryRequest(path, requestSerialize, responseDeserialize, request, { deadline: Date.now() + CALL_TIMEOUT_MS },
        (error, answer) => {
          if (error === null && answer !== undefined) resolve(Ok(answer))
          else {
            this.drop(address)
            resolve(Err(makeFault('unreachable', `${address}: ${describeError(error)}`)))
          }
        })
    })
  }

  /** Closes the connection to a peer that is gone. */
  drop (address: string): void {
    this.clients.get(address)?.close()
    this.clients.delete(address)
  }

  close (): void {
    for (const address of [...this.clients.keys()]) this.drop(address)
  }

  private getClient (address: string): Client {
    const held = this.clients.get(address)
    if (held !== undefined) return held
    const client = new Client(address, credentials.createInsecure(), OPTIONS)
    this.clients.set(address, client)
    return client
  }
}

export async function startLinkServer (address: string, codec: Codec, answer: (request: ExchangeRequest) => ExchangeAnswer): Promise<Server> {
  const server = new Server(OPTIONS)
  const exchange = (call: ServerUnaryCall<ExchangeRequest, ExchangeAnswer>, callback: sendUnaryData<ExchangeAnswer>): void => {
    try {
      callback(null, answer(call.request))
    } catch (error) {
      callback({ code: status.INTERNAL, message: describeError(error) })
    }
  }
  server.addService({ exchange: defineExchange(codec) }, { exchange })
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), error => { error === null ? resolve() : reject(error) })
  })
  return server
}
