/**
 * Calls nodes over gRPC, with one connection for each address.
 */
import { Client, credentials as grpcCredentials } from '@grpc/grpc-js'
import type { ChannelCredentials, Interceptor, MethodDefinition } from '@grpc/grpc-js'
import { Err, Ok, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import type { LendRequest, LendResponse } from '../quota/index.js'
import type { ExplainRequest, ExplainResponse } from '../request/index.js'
import type { EventFilter } from '../timeline/index.js'
import type { RolloutReport, RolloutResponse } from '../rollout/index.js'
import { PeerTransport } from './transport.js'
import type { Codec } from './codec.js'
import type { Dialer } from './dialer.js'
import type { DrainResponse, DrainRequest, ExchangeResponse, ExchangeRequest, StatusResponse, TimelineResponse } from './messages.js'
import { CHANNEL_OPTIONS } from './server.js'
import { defineOperatorCommands, defineOperatorQueries, definePeerMethods, defineQuotaMethods } from './services.js'
import type { OperatorCommandMethods, OperatorQueryMethods, PeerMethods, QuotaMethods } from './services.js'

const EXCHANGE_TIMEOUT_MS = 1_000
/** A node sends nothing to the new version after 2 s without a response, and asks up to three coordinators. */
const REPORT_TIMEOUT_MS = 500
const OPERATOR_TIMEOUT_MS = 1_500
/** A request does not wait for credits any longer, but a later response still shows that the connection works. */
const LEND_TIMEOUT_MS = 1_000

export class PeerClient extends PeerTransport {
  private readonly clients = new Map<string, Client>()
  private readonly peer: PeerMethods
  private readonly quota: QuotaMethods
  private readonly queries: OperatorQueryMethods
  private readonly commands: OperatorCommandMethods

  constructor (
    codec: Codec,
    private readonly dialer: Dialer,
    private readonly credentials: ChannelCredentials = grpcCredentials.createInsecure(),
    private readonly interceptors: Interceptor[] = []
  ) {
    super()
    this.peer = definePeerMethods(codec)
    this.quota = defineQuotaMethods(codec)
    this.queries = defineOperatorQueries(codec)
    this.commands = defineOperatorCommands(codec)
  }

  override async exchange (address: string, request: ExchangeRequest): Promise<Result<ExchangeResponse, Fault>> {
    return await this.call(address, this.peer.exchange, request, EXCHANGE_TIMEOUT_MS)
  }

  async lend (address: string, request: LendRequest): Promise<Result<LendResponse, Fault>> {
    return await this.call(address, this.quota.lend, request, LEND_TIMEOUT_MS)
  }

  override async report (address: string, report: RolloutReport): Promise<Result<RolloutResponse, Fault>> {
    return await this.call(address, this.peer.report, report, REPORT_TIMEOUT_MS)
  }

  async queryStatus (address: string): Promise<Result<StatusResponse, Fault>> {
    return await this.call(address, this.queries.status, {}, OPERATOR_TIMEOUT_MS)
  }

  async queryTimeline (address: string, filter: EventFilter = {}): Promise<Result<TimelineResponse, Fault>> {
    return await this.call(address, this.queries.timeline, { filter }, OPERATOR_TIMEOUT_MS)
  }

  async queryExplanation (address: string, request: ExplainRequest): Promise<Result<ExplainResponse, Fault>> {
    return await this.call(address, this.queries.explain, request, OPERATOR_TIMEOUT_MS)
  }

  async drainHost (address: string, request: DrainRequest): Promise<Result<DrainResponse, Fault>> {
    return await this.call(address, this.commands.drain, request, OPERATOR_TIMEOUT_MS)
  }

  close (): void {
    for (const address of [...this.clients.keys()]) this.closeClient(address)
  }

  private getClient (address: string): Client {
    const existing = this.clients.get(address)
    if (existing !== undefined) return existing
    const client = new Client(this.dialer.resolve(address), this.credentials, {
      ...CHANNEL_OPTIONS,
      // Channels to the same address would otherwise share a connection, even an unresponsive one.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.enable_http_proxy': 0,
      interceptors: this.interceptors
    })
    this.clients.set(address, client)
    return client
  }

  private closeClient (address: string): void {
    this.clients.get(address)?.close()
    this.clients.delete(address)
  }

  /**
   * Closes the connection after a failed call, since it may be unresponsive. The next call opens a new connection, which another call that
   * fails on the former one later leaves open.
   */
  private async call<Q, A> (address: string, method: MethodDefinition<Q, A>, request: Q, timeoutMs: number): Promise<Result<A, Fault>> {
    const deadline = Date.now() + timeoutMs
    let client: Client | undefined
    return await new Promise(resolve => {
      const settle = (error: unknown, response?: A): void => {
        if (response !== undefined && error === null) {
          resolve(Ok(response))
          return
        }
        if (client === this.clients.get(address)) this.closeClient(address)
        resolve(Err(makeFault('unreachable', `${address}: ${describeError(error)}`)))
      }
      try {
        client = this.getClient(address)
        client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, { deadline }, settle)
      } catch (error) {
        // gRPC throws for a text that is no address.
        settle(error)
      }
    })
  }
}
