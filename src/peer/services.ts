/**
 * The gRPC services between nodes and for operators. Commands, which change state, and queries, which only
 * read, are separate services.
 */
import type { MethodDefinition } from '@grpc/grpc-js'
import type * as z from 'zod'
import { lendRequestSchema, lendResponseSchema } from '../quota/index.js'
import type { LendRequest, LendResponse } from '../quota/index.js'
import { rolloutReportSchema, rolloutResponseSchema } from '../rollout/index.js'
import type { RolloutReport, RolloutResponse } from '../rollout/index.js'
import { explainRequestSchema, explainResponseSchema } from '../request/index.js'
import type { ExplainRequest, ExplainResponse } from '../request/index.js'
import type { Codec } from './codec.js'
import {
  drainResponseSchema, drainRequestSchema, exchangeResponseSchema, exchangeRequestSchema, statusResponseSchema, statusRequestSchema,
  timelineResponseSchema, timelineRequestSchema
} from './messages.js'
import type {
  DrainResponse, DrainRequest, ExchangeResponse, ExchangeRequest, StatusResponse, StatusRequest, TimelineResponse, TimelineRequest
} from './messages.js'

function defineMethod<Q, A> (codec: Codec, path: string, request: z.ZodType<Q>, response: z.ZodType<A>): MethodDefinition<Q, A> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: message => codec.encode(message),
    requestDeserialize: bytes => codec.decode(bytes, request),
    responseSerialize: message => codec.encode(message),
    responseDeserialize: bytes => codec.decode(bytes, response)
  }
}

export interface PeerMethods {
  exchange: MethodDefinition<ExchangeRequest, ExchangeResponse>
  report: MethodDefinition<RolloutReport, RolloutResponse>
}

/** Served only where the deployment has quotas. */
export interface QuotaMethods { lend: MethodDefinition<LendRequest, LendResponse> }

export interface OperatorQueryMethods {
  status: MethodDefinition<StatusRequest, StatusResponse>
  timeline: MethodDefinition<TimelineRequest, TimelineResponse>
  explain: MethodDefinition<ExplainRequest, ExplainResponse>
}

export interface OperatorCommandMethods { drain: MethodDefinition<DrainRequest, DrainResponse> }

export function definePeerMethods (codec: Codec): PeerMethods {
  return {
    exchange: defineMethod(codec, '/comfreyspoke.Peer/Exchange', exchangeRequestSchema, exchangeResponseSchema),
    report: defineMethod(codec, '/comfreyspoke.Peer/Report', rolloutReportSchema, rolloutResponseSchema)
  }
}

export function defineQuotaMethods (codec: Codec): QuotaMethods {
  return { lend: defineMethod(codec, '/comfreyspoke.Quota/Lend', lendRequestSchema, lendResponseSchema) }
}

export function defineOperatorQueries (codec: Codec): OperatorQueryMethods {
  return {
    status: defineMethod(codec, '/comfreyspoke.OperatorQueries/Status', statusRequestSchema, statusResponseSchema),
    timeline: defineMethod(codec, '/comfreyspoke.OperatorQueries/Timeline', timelineRequestSchema, timelineResponseSchema),
    explain: defineMethod(codec, '/comfreyspoke.OperatorQueries/Explain', explainRequestSchema, explainResponseSchema)
  }
}

export function defineOperatorCommands (codec: Codec): OperatorCommandMethods {
  return { drain: defineMethod(codec, '/comfreyspoke.OperatorCommands/Drain', drainRequestSchema, drainResponseSchema) }
}
