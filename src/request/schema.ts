/**
 * A call as routing and retry decisions use it: typed values, without sockets or body bytes.
 */
import * as z from 'zod'
import { credentialSchema } from '../account/index.js'

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
  /** Present if the request has reached a target before. */
  repeat: 'x-comfreyspoke-repeat',
  /** The probability that a repeated run on the host of the caller made the request, in percent. */
  repeatPercent: 'x-comfreyspoke-repeat-percent',
  noRetry: 'x-comfreyspoke-no-retry',
  load: 'x-comfreyspoke-load',
  /** The name of the client account, percent-encoded. */
  account: 'x-comfreyspoke-account',
  objective: 'x-comfreyspoke-objective-ms',
  /** Time that the target took for the request, while a version of its service is rolled out. */
  runTime: 'x-comfreyspoke-run-ms',
  /** The route of the request by its name, percent-encoded: requests of one route need similar work. */
  kind: 'x-comfreyspoke-kind',
  /** Present on a nested call while accounts are in force: how long the run that made it has used its slot, in milliseconds. */
  spent: 'x-comfreyspoke-spent-ms',
  key: 'idempotency-key',
  fingerprint: 'x-comfreyspoke-fingerprint',
  suspect: 'x-comfreyspoke-suspect'
} as const

export const MAX_HOPS = 8

export const runOriginSchema = z.object({
  /** The request has reached a target before. */
  isRepeat: z.boolean(),
  /** 1 for a repeat, and otherwise the probability that a repeated run on the host of the caller made the request. */
  repeatShare: z.number().min(0).max(1)
})
export type RunOrigin = z.infer<typeof runOriginSchema>

export const callSchema = z.object({
  request: z.string(),
  service: z.string(),
  /** The name in the `Host` header, if routes are selected by it. */
  host: z.string().optional(),
  caller: z.string().optional(),
  method: z.string(),
  path: z.string(),
  hops: z.number().int(),
  /** Deadline that the caller sets, in milliseconds. The deadline of the route caps it. */
  deadlineMs: z.number().optional(),
  key: z.string().optional(),
  /** Set by a caller that itself serves a retry, so that this call is not retried again. */
  noRetry: z.boolean(),
  /** Absent if the protocol has no credentials. */
  credential: credentialSchema.optional(),
  bodyBytes: z.number().int().optional(),
  hasBody: z.boolean()
})
export type Call = z.infer<typeof callSchema>
