/**
 * Calls to other nodes over gRPC. A subscription has a channel of its own, so that a new one never
 * goes over a connection that went silent; the short calls share one channel for each address.
 */
import { Client, credentials as grpcCredentials } from '@grpc/grpc-js'
import type { ChannelCredentials, Interceptor, MethodDefinition } from '@grpc/grpc-js'
import { Err, Ok, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { EventFilter } from '../timeline/index.js'
import type { Codec } from './codec.js'
import type { Dialer } from './dialer.js'
import type { DrainAnswer, DrainRequest, FetchAnswer, StatusAnswer, TimelineAnswer } from './messages.js'
import { CHANNEL_OPTIONS } from './server.js'
import { defineOperatorCommands, defineOperatorQueries, definePeerMethods } from './services.js'
import type { OperatorCommandMethods, OperatorQueryMethods, PeerMethods, UpstreamCall } from './services.js'

const CALL_TIMEOUT_MS = 1_500
const CLIENT_KEEPALIVE_MS = 10_000

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
    const client = this.createClient(address)
    const call = client.makeBidiStreamRequest(method.path, method.requestSerialize, method.responseDeserialize)
    call.on('status', () => { client.close() })
    return call
  }

  async fetchState (address: string, node: string): Promise<Result<FetchAnswer, Fault>> {
    return await this.callOnce(address, this.peer.fetch, { node })
  }

  async queryStatus (address: string): Promise<Result<StatusAnswer, Fault>> {
    return await this.callOnce(address, this.queries.status, {})
  }

  async queryTimeline (address: string, filter: EventFilter = {}): Promise<Result<TimelineAnswer, Fault>> {
    return await this.callOnce(address, this.queries.timeline, { filter })
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
    const client = this.createClient(address)
    this.clients.set(address, client)
    return client
  }

  private createClient (address: string): Client {
    return new Client(this.dialer.resolve(address), this.credentials, {
      ...CHANNEL_OPTIONS,
      // The server's pings find a dead subscriber and its beats keep the client informed, so the client rarely pings.
      'grpc.keepalive_time_ms': CLIENT_KEEPALIVE_MS,
      // Without this, channels to one address would share a connection.
      'grpc.use_local_subchannel_pool': 1,
      interceptors: this.interceptors,
      'grpc.initial_reconnect_backoff_ms': 100,
      'grpc.max_reconnect_backoff_ms': 1_000
    })
  }

  /** A call that failed may have been sent on a connection that went silent. */
  private dropClient (address: string): void {
    this.clients.get(address)?.close()
    this.clients.delete(address)
  }

  private async callOnce<Q, A> (address: string, method: MethodDefinition<Q, A>, request: Q): Promise<Result<A, Fault>> {
    const deadline = Date.now() + CALL_TIMEOUT_MS
    return await new Promise(resolve => {
      const settle = (error: unknown, answer?: A): void => {
        if (answer !== undefined && error === null) resolve(Ok(answer))
        else {
          this.dropClient(address)
          resolve(Err(makeFault('unreachable', `${address}: ${describeError(error)}`)))
        }
      }
      this.getClient(address).makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, { deadline }, settle)
    })
  }
}
