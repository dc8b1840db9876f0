/**
 * Calls to other nodes over gRPC. One channel for each address, kept until it is closed.
 */
import { Client, credentials as grpcCredentials } from '@grpc/grpc-js'
import type { ChannelCredentials, Interceptor, MethodDefinition } from '@grpc/grpc-js'
import { Err, Ok, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { Codec } from './codec.js'
import type { Dialer } from './dialer.js'
import type { DrainAnswer, DrainRequest, FetchAnswer, StatusAnswer, TimelineAnswer } from './messages.js'
import { CHANNEL_OPTIONS } from './server.js'
import { defineOperatorCommands, defineOperatorQueries, definePeerMethods } from './services.js'
import type { OperatorCommandMethods, OperatorQueryMethods, PeerMethods, UpstreamCall } from './services.js'

const CALL_TIMEOUT_MS = 1_500

export class PeerClient {
  private readonly clients = new Map<string, Client>()
  private readonly peer: PeerMethods
  private readonly queries: OperatorQueryMethods
  private readonly commands: OperatorCommandMethods

  constructor (
    codec: Codec,
    private readonly dialer: Dialer,
    private readonly credentials: ChannelCredentials = grpcCredentials.createInsecure(),
    private readonly interceptors: Interceptor[] = []
  ) {
    this.peer = definePeerMethods(codec)
    this.queries = defineOperatorQueries(codec)
    this.commands = defineOperatorCommands(codec)
  }

  openSubscription (address: string): UpstreamCall {
    const method = this.peer.subscribe
    return this.getClient(address).makeBidiStreamRequest(method.path, method.requestSerialize, method.responseDeserialize)
  }

  async fetchState (address: string, node: string): Promise<Result<FetchAnswer, Fault>> {
    return await this.callOnce(address, this.peer.fetch, { node })
  }

  async queryStatus (address: string): Promise<Result<StatusAnswer, Fault>> {
    return await this.callOnce(address, this.queries.status, {})
  }

  async queryTimeline (address: string): Promise<Result<TimelineAnswer, Fault>> {
    return await this.callOnce(address, this.queries.timeline, {})
  }

  async drainHost (address: string, request: DrainRequest): Promise<Result<DrainAnswer, Fault>> {
    return await this.callOnce(address, this.commands.drain, request)
  }

  close (): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }

  private getClient (address: string): Client {
    const held = this.clients.get(address)
    if (held !== undefined) return held
    const client = new Client(this.dialer.resolve(address), this.credentials, {
      ...CHANNEL_OPTIONS,
      interceptors: this.interceptors,
      'grpc.initial_reconnect_backoff_ms': 100,
      'grpc.max_reconnect_backoff_ms': 1_000
    })
    this.clients.set(address, client)
    return client
  }

  private async callOnce<Q, A> (address: string, method: MethodDefinition<Q, A>, request: Q): Promise<Result<A, Fault>> {
    const deadline = Date.now() + CALL_TIMEOUT_MS
    return await new Promise(resolve => {
      const settle = (error: unknown, answer?: A): void => {
        if (answer !== undefined && error === null) resolve(Ok(answer))
        else resolve(Err(makeFault('unreachable', `${address}: ${describeError(error)}`)))
      }
      this.getClient(address).makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, { deadline }, settle)
    })
  }
}
