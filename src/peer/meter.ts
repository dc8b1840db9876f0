/**
 * Counts control-plane messages and their bytes by kind, direction and link, in gRPC interceptors, so that
 * the tasks and messages need no code for it. Each side sends its zone and region in the metadata of the
 * call. Bytes are those of the encoded message, without the headers of gRPC, HTTP/2 and TCP.
 */
import { InterceptingCall, ListenerBuilder, RequesterBuilder, ResponderBuilder, ServerInterceptingCall, ServerListenerBuilder } from '@grpc/grpc-js'
import type { Interceptor, Metadata, ServerInterceptor } from '@grpc/grpc-js'
import type * as z from 'zod'
import { Codec } from './codec.js'

export interface Location { zone: string, region: string }

/** Within a zone, between zones of a region, or between regions. `operator`: the other side sends no zone, as the operator's tool does. */
export type Link = 'zone' | 'zones' | 'regions' | 'operator'

export type Direction = 'sent' | 'received'

export interface ControlMessage { kind: string, link: Link, direction: Direction, bytes: number }

export type CountMessage = (message: ControlMessage) => void

const ZONE_KEY = 'comfreyspoke-zone'
const REGION_KEY = 'comfreyspoke-region'

export function findLink (local: Location, other: Location | undefined): Link {
  if (other === undefined) return 'operator'
  if (other.region !== local.region) return 'regions'
  return other.zone === local.zone ? 'zone' : 'zones'
}

/** Counts the messages of one gRPC call. Messages are pending until the location of the other side is known. */
class CallMeter {
  private link: Link | undefined
  private readonly pending: Array<Omit<ControlMessage, 'link'>> = []

  constructor (private readonly local: Location, private readonly method: string, private readonly count: CountMessage) {}

  record (direction: Direction, message: unknown, bytes: number): void {
    const type = (message as { type?: unknown } | null)?.type
    const control = { kind: typeof type === 'string' ? type : this.method, direction, bytes }
    if (this.link === undefined) this.pending.push(control)
    else this.count({ ...control, link: this.link })
  }

  /** Derives the link from the metadata of the other side. A call that fails earlier reached no node, so its messages are not counted. */
  setPeerLocation (metadata: Metadata): void {
    if (this.link !== undefined) return
    const link = findLink(this.local, readLocation(metadata))
    this.link = link
    for (const message of this.pending.splice(0)) this.count({ ...message, link })
  }
}

type Hook<T> = (value: T, next: (value: T) => void) => void

interface MessageHooks { receiveMetadata: Hook<Metadata>, receiveMessage: Hook<object | null>, sendMessage: Hook<object> }

/** Each process has one meter. All calls have to be encoded by its codec. */
export class ControlMeter {
  readonly codec: Codec
  /** The call of each outgoing message. */
  private readonly calls = new WeakMap<object, CallMeter>()
  /** The encoded size of each incoming message, in bytes. */
  private readonly sizes = new WeakMap<object, number>()

  constructor (inner: Codec, private readonly local: Location, private readonly count: CountMessage) {
    this.codec = new MeteredCodec(inner, (message, bytes) => { this.calls.get(message)?.record('sent', message, bytes) }, this.sizes)
  }

  get clientInterceptor (): Interceptor {
    return (options, nextCall) => {
      const hooks = this.makeHooks(options.method_definition.path)
      const listener = new ListenerBuilder()
        .withOnReceiveMetadata(hooks.receiveMetadata)
        .withOnReceiveMessage(hooks.receiveMessage)
        .build()
      return new InterceptingCall(nextCall(options), new RequesterBuilder()
        .withStart((metadata, _listener, next) => { next(this.setLocation(metadata), listener) })
        .withSendMessage(hooks.sendMessage)
        .build())
    }
  }

  get serverInterceptor (): ServerInterceptor {
    return (method, serverCall) => {
      const hooks = this.makeHooks(method.path)
      const listener = new ServerListenerBuilder()
        .withOnReceiveMetadata(hooks.receiveMetadata)
        .withOnReceiveMessage(hooks.receiveMessage)
        .build()
      return new ServerInterceptingCall(serverCall, new ResponderBuilder()
        .withStart(next => { next(listener) })
        .withSendMetadata((metadata, next) => { next(this.setLocation(metadata)) })
        .withSendMessage(hooks.sendMessage)
        .build())
    }
  }

  /** The hooks that run at both ends of a call before its metadata and messages are passed on. */
  private makeHooks (path: string): MessageHooks {
    const call = new CallMeter(this.local, path.slice(path.lastIndexOf('/') + 1).toLowerCase(), this.count)
    return {
      receiveMetadata: (metadata, next) => {
        call.setPeerLocation(metadata)
        next(metadata)
      },
      receiveMessage: (message, next) => {
        if (message !== null) call.record('received', message, this.sizes.get(message) ?? 0)
        next(message)
      },
      sendMessage: (message, next) => {
        this.calls.set(message, call)
        next(message)
      }
    }
  }

  private setLocation (metadata: Metadata): Metadata {
    metadata.set(ZONE_KEY, this.local.zone)
    metadata.set(REGION_KEY, this.local.region)
    return metadata
  }
}

class MeteredCodec extends Codec {
  constructor (
    private readonly inner: Codec,
    private readonly onEncoded: (message: object, bytes: number) => void,
    private readonly sizes: WeakMap<object, number>
  ) {
    super()
  }

  override encode (message: unknown): Buffer {
    const bytes = this.inner.encode(message)
    this.onEncoded(message as object, bytes.length)
    return bytes
  }

  override decode<T> (bytes: Buffer, schema: z.ZodType<T>): T {
    const message = this.inner.decode(bytes, schema)
    this.sizes.set(message as object, bytes.length)
    return message
  }
}

function readLocation (metadata: Metadata): Location | undefined {
  const [zone] = metadata.get(ZONE_KEY)
  const [region] = metadata.get(REGION_KEY)
  return zone === undefined || region === undefined ? undefined : { zone: String(zone), region: String(region) }
}
