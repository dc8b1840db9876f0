/**
 * Whether a target ran a request. `not-run`: no byte of the request reached a target, or the
 * target-side node rejected the request first. `may-have-run`: a byte may have reached a target
 * and no complete response arrived. `ran`: a target responded.
 */
import * as z from 'zod'

export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran'])
export type Verdict = z.infer<typeof verdictSchema>

/** The body of every failure response to a caller. Times are in milliseconds. */
export const failureSchema = z.object({
  verdict: verdictSchema,
  code: z.string(),
  message: z.string(),
  status: z.number().int(),
  request: z.string().optional(),
  retryAfterMs: z.number().int().optional(),
  /** The request reached a target, which rejected it or may have run it. */
  reached: z.boolean().optional(),
  /** The process of a target that crashed. It may be the successor of the one that the request names. */
  target: z.string().optional(),
  /** The downstream hops have made the attempts that the load allows. A retry by an upstream hop would only add load. */
  noRetry: z.boolean().optional()
})
export type Failure = z.infer<typeof failureSchema>

export function makeFailure (verdict: Verdict, status: number, code: string, message: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined ? { verdict, status, code, message } : { verdict, status, code, message, retryAfterMs }
}
