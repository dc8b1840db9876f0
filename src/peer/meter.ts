/**
 * Counts control messages and their bytes by kind, direction and link, below the tasks and
 * whatever the messages hold. Each side tells the other its zone and region in the call's
 * metadata. Bytes are those of the encoded message, without the headers of gRPC, HTTP/2 and TCP.
 */
import { InterceptingCall, ListenerBuilder, RequesterBuilder, ResponderBuilder, ServerInterceptingCall, ServerListenerBuilder } from '@grpc/grpc-js'
import type { Interceptor, Metadata, ServerInterceptor } from '@grpc/grpc-js'
import type { z } from 'zod'
import { Codec } from './codec.js'

export interface Location { zone: string, region: string }

/** `operator` is a peer that names no zone: the operator's tool. */
export type Link = 'zone' | 'zones' | 'regions' | 'operator'

export type Direction = 'sent' | 'received'

export interface ControlMessage { kind: string, link: Link, direction: Direction, bytes: number }

export type CountMessage = (message: ControlMessage) => void

const ZONE_KEY = 'comfreyspoke-zone'
const REGION_KEY = 'comfreyspoke-region'

export function findLink (own: Location, other: Location | undefined): Link {
  if (other === undefined) return 'operator'
  if (other.region !== own.region) return 'regions'
  return other.zone === own.zone ? 'zone' : 'zones'
}

/** Of one call: holds its counts back until the other side's location is known. */
class CallMeter {
  private link: Link | undefined
  private readonly pending: Array<Omit<ControlMessage, 'link'>> = []

  constructor (private readonly own: Location, private readonly method: string, private readonly count: CountMessage) {}

  record (direction: Direction, message: unknown, bytes: number): void {
    const type = (message as { type?: unknown } | null)?.type
    const one = { kind: typeof type === 'string' ? type : this.method, direction, bytes }
    if (this.link === undefined) this.pending.push(one)
    else this.count({ ...one, link: this.link })
  }

  /** Told of the other side's metadata. A call that fails before has reached nobody, and nothing of it is counted. */
  setPeerLocation (metadata: Metadata): void {
    if (this.link !== undefined) return
    const link = findLink(this.own, readLocation(metadata))
    this.link = link
    for (const one of this.pending.splice(0)) this.count({ ...one, link })
  }
}

type Hook<T> = (value: T, next: (value: T) => void) => void

interface MessageHooks { receiveMetadata: Hook<Metadata>, receiveMessage: Hook<object | null>, sendMessage: Hook<object> }

/** One for each process; its codec has to be the one that the calls are encoded by. */
export class ControlMeter {
  readonly codec: Codec
  /** The call that an outgoing message belongs to, and the size of an incoming one. */
  private readonly calls = new WeakMap<object, CallMeter>()
  private readonly sizes = new WeakMap<object, number>()

  constructor (inner: Codec, private readonly own: Location, private readonly count: CountMessage) {
    this.codec = new MeteredCodec(inner, (message, bytes) => { this.calls.get(message)?.record('sent', message, bytes) }, this.sizes)
  }

  get clientInterceptor (): Interceptor {
    return (options, nextCall) => {
      const passes = this.makeHooks(options.method_definition.path)
      const listener = new ListenerBuilder()
        .withOnReceiveMetadata(passes.receiveMetadata)
        .withOnReceiveMessage(passes.receiveMessage)
        .build()
      return new InterceptingCall(nextCall(options), new RequesterBuilder()
        .withStart((metadata, _listener, next) => { next(this.setLocation(metadata), listener) })
        .withSendMessage(passes.sendMessage)
        .build())
    }
  }

  get serverInterceptor (): ServerInterceptor {
    return (method, serverCall) => {
      const passes = this.makeHooks(method.path)
      const listener = new ServerListenerBuilder()
        .withOnReceiveMetadata(passes.receiveMetadata)
        .withOnReceiveMessage(passes.receiveMessage)
        .build()
      return new ServerInterceptingCall(serverCall, new ResponderBuilder()
        .withStart(next => { next(listener) })
        .withSendMetadata((metadata, next) => { next(this.setLocation(metadata)) })
        .withSendMessage(passes.sendMessage)
        .build())
    }
  }

  /** What both ends of a call do with its metadata and messages before they pass them on. */
  private makeHooks (path: string): MessageHooks {
    const call = new CallMeter(this.own, path.slice(path.lastIndexOf('/') + 1).toLowerCase(), this.count)
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
    metadata.set(ZONE_KEY, this.own.zone)
    metadata.set(REGION_KEY, this.own.region)
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
