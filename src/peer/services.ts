/**
 * The gRPC services between nodes and for operators. Calls that change something and calls
 * that only read are in different services.
 */
import type { ClientDuplexStream, MethodDefinition, ServerDuplexStream } from '@grpc/grpc-js'
import type { z } from 'zod'
import type { Codec } from './codec.js'
import {
  downSchema, drainAnswerSchema, drainRequestSchema, fetchAnswerSchema, fetchRequestSchema,
  statusAnswerSchema, statusRequestSchema, timelineAnswerSchema, timelineRequestSchema, upSchema
} from './messages.js'
import type {
  Down, DrainAnswer, DrainRequest, FetchAnswer, FetchRequest, StatusAnswer, StatusRequest, TimelineAnswer, TimelineRequest, Up
} from './messages.js'

export type DownstreamCall = ServerDuplexStream<Up, Down>
export type UpstreamCall = ClientDuplexStream<Up, Down>

function defineMethod<Q, A> (
  codec: Codec, path: string, streams: boolean, request: z.ZodType<Q>, answer: z.ZodType<A>
): MethodDefinition<Q, A> {
  return {
    path,
    requestStream: streams,
    responseStream: streams,
    requestSerialize: message => codec.encode(message),
    requestDeserialize: bytes => codec.decode(bytes, request),
    responseSerialize: message => codec.encode(message),
    responseDeserialize: bytes => codec.decode(bytes, answer)
  }
}

export interface PeerMethods {
  subscribe: MethodDefinition<Up, Down>
  fetch: MethodDefinition<FetchRequest, FetchAnswer>
}

export interface OperatorQueryMethods {
  status: MethodDefinition<StatusRequest, StatusAnswer>
  timeline: MethodDefinition<TimelineRequest, TimelineAnswer>
}

export interface OperatorCommandMethods { drain: MethodDefinition<DrainRequest, DrainAnswer> }

export function definePeerMethods (codec: Codec): PeerMethods {
  return {
    subscribe: defineMethod(codec, '/comfreyspoke.Peer/Subscribe', true, upSchema, downSchema),
    fetch: defineMethod(codec, '/comfreyspoke.Peer/Fetch', false, fetchRequestSchema, fetchAnswerSchema)
  }
}

export function defineOperatorQueries (codec: Codec): OperatorQueryMethods {
  return {
    status: defineMethod(codec, '/comfreyspoke.OperatorQueries/Status', false, statusRequestSchema, statusAnswerSchema),
    timeline: defineMethod(codec, '/comfreyspoke.OperatorQueries/Timeline', false, timelineRequestSchema, timelineAnswerSchema)
  }
}

export function defineOperatorCommands (codec: Codec): OperatorCommandMethods {
  return { drain: defineMethod(codec, '/comfreyspoke.OperatorCommands/Drain', false, drainRequestSchema, drainAnswerSchema) }
}
