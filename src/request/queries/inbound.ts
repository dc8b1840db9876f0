/**
 * Reads the head of a request that another node forwards to a target of this host.
 */
import type { IncomingMessage } from 'node:http'
import * as z from 'zod'
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import { routeClassSchema } from '../../document/index.js'
import { checkHead, removeHopByHopHeaders, hasBody, parseInteger } from '../headers.js'
import { HEADERS, runOriginSchema } from '../schema.js'
import type { RunOrigin } from '../schema.js'

/** Caps the received deadline, since a timer for an arbitrary value would overflow. Longer than the deadline of any route. */
const MAX_DEADLINE_MS = 600_000

export const inboundRequestSchema = z.object({
  request: z.string(),
  service: z.string(),
  target: z.string(),
  routeClass: routeClassSchema,
  deadlineMs: z.number().int(),
  /** Time within which the response has its full value to the caller. */
  objectiveMs: z.number().int().optional(),
  attempt: z.number().int(),
  /** The name of the route. */
  route: z.string().optional(),
  spentMs: z.number().int(),
  origin: runOriginSchema,
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  hasBody: z.boolean()
})
export type InboundRequest = z.infer<typeof inboundRequestSchema>

export function readInboundRequest (message: IncomingMessage): Result<InboundRequest, Failure> {
  const failure = checkHead(message)
  if (failure !== undefined) return Err(failure)
  const { headers } = message
  const deadlineMs = parseInteger(headers[HEADERS.deadline], 1)
  if (typeof deadlineMs !== 'number') return Err(makeFailure('not-run', 400, 'bad_deadline', `${HEADERS.deadline} is missing or not a positive integer`))
  const attempt = parseInteger(headers[HEADERS.attempt], 1)
  if (attempt === 'bad') return Err(makeFailure('not-run', 400, 'bad_attempt', `${HEADERS.attempt} is not a positive integer`))
  const objectiveMs = parseInteger(headers[HEADERS.objective], 0)
  const routeClass = String(headers[HEADERS.routeClass] ?? 'normal')
  return Ok({
    request: String(headers[HEADERS.request] ?? ''),
    service: String(headers[HEADERS.service] ?? ''),
    target: String(headers[HEADERS.target] ?? ''),
    routeClass: routeClass === 'critical' || routeClass === 'bulk' ? routeClass : 'normal',
    deadlineMs: Math.min(deadlineMs, MAX_DEADLINE_MS),
    attempt: attempt ?? 1,
    ...headers[HEADERS.kind] === undefined ? {} : { route: String(headers[HEADERS.kind]) },
    spentMs: readSpent(message),
    origin: readOrigin(message),
    ...typeof objectiveMs === 'number' ? { objectiveMs } : {},
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: removeHopByHopHeaders(headers),
    hasBody: hasBody(message)
  })
}

function readOrigin ({ headers }: IncomingMessage): RunOrigin {
  if (headers[HEADERS.repeat] !== undefined) return { isRepeat: true, repeatShare: 1 }
  const percent = parseInteger(headers[HEADERS.repeatPercent], 0)
  return { isRepeat: false, repeatShare: typeof percent === 'number' ? Math.min(1, percent / 100) : 0 }
}

/** Only nested calls have the header. The least value still tells them from other requests. */
function readSpent ({ headers }: IncomingMessage): number {
  const spentMs = parseInteger(headers[HEADERS.spent], 0)
  return typeof spentMs === 'number' ? Math.max(1, Math.min(spentMs, MAX_DEADLINE_MS)) : 0
}
