/**
 * The gRPC services between nodes and for operators. Calls that change something and calls
 * that only read are in different services.
 */
import type { MethodDefinition } from '@grpc/grpc-js'
import type { z } from 'zod'
import type { Codec } from './codec.js'
import {
  drainAnswerSchema, drainRequestSchema, exchangeAnswerSchema, exchangeRequestSchema, statusAnswerSchema, statusRequestSchema, timelineAnswerSchema,
  timelineRequestSchema
} from './messages.js'
import type {
  DrainAnswer, DrainRequest, ExchangeAnswer, ExchangeRequest, StatusAnswer, StatusRequest, TimelineAnswer, TimelineRequest
} from './messages.js'

function defineMethod<Q, A> (codec: Codec, path: string, request: z.ZodType<Q>, answer: z.ZodType<A>): MethodDefinition<Q, A> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: message => codec.encode(message),
    requestDeserialize: bytes => codec.decode(bytes, request),
    responseSerialize: message => codec.encode(message),
    responseDeserialize: bytes => codec.decode(bytes, answer)
  }
}

export interface PeerMethods { exchange: MethodDefinition<ExchangeRequest, ExchangeAnswer> }

export interface OperatorQueryMethods {
  status: MethodDefinition<StatusRequest, StatusAnswer>
  timeline: MethodDefinition<TimelineRequest, TimelineAnswer>
}

export interface OperatorCommandMethods { drain: MethodDefinition<DrainRequest, DrainAnswer> }

export function definePeerMethods (codec: Codec): PeerMethods {
  return { exchange: defineMethod(codec, '/comfreyspoke.Peer/Exchange', exchangeRequestSchema, exchangeAnswerSchema) }
}

export function defineOperatorQueries (codec: Codec): OperatorQueryMethods {
  return {
    status: defineMethod(codec, '/comfreyspoke.OperatorQueries/Status', statusRequestSchema, statusAnswerSchema),
    timeline: defineMethod(codec, '/comfreyspoke.OperatorQueries/Timeline', timelineRequestSchema, timelineAnswerSchema)
  }
}

export function defineOperatorCommands (codec: Codec): OperatorCommandMethods {
  return { drain: defineMethod(codec, '/comfreyspoke.OperatorCommands/Drain', drainRequestSchema, drainAnswerSchema) }
}
