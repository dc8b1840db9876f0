/**
 * A call as the decisions see it: typed values, no sockets and no bytes.
 */
import { z } from 'zod'

export const HEADERS = {
  service: 'x-comfreyspoke-service',
  caller: 'x-comfreyspoke-caller',
  deadline: 'x-comfreyspoke-deadline-ms',
  hops: 'x-comfreyspoke-hops',
  request: 'x-comfreyspoke-request',
  attempt: 'x-comfreyspoke-attempt',
  verdict: 'x-comfreyspoke-verdict',
  target: 'x-comfreyspoke-target',
  routeClass: 'x-comfreyspoke-class',
  noRetry: 'x-comfreyspoke-no-retry',
  load: 'x-comfreyspoke-load',
  objective: 'x-comfreyspoke-objective-ms',
  key: 'idempotency-key',
  fingerprint: 'x-comfreyspoke-fingerprint',
  suspect: 'x-comfreyspoke-suspect'
} as const

export const MAX_HOPS = 8

export const callSchema = z.object({
  request: z.string(),
  service: z.string(),
  /** The name in `Host`, where routes are reached by one. */
  host: z.string().optional(),
  caller: z.string().optional(),
  method: z.string(),
  path: z.string(),
  hops: z.number().int(),
  /** What the caller allows, in milliseconds; the route's own deadline caps it. */
  deadlineMs: z.number().optional(),
  key: z.string().optional(),
  /** A caller that is itself serving a retry asks for no further ones. */
  noRetry: z.boolean(),
  bodyBytes: z.number().int().optional(),
  hasBody: z.boolean()
})
export type Call = z.infer<typeof callSchema>
