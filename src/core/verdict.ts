/**
 * What is known about the run of a request. `not-run`: no byte of it reached a target,
 * or the node of the target's host refused it first. `may-have-run`: a byte may have
 * reached a target and no whole answer came. `ran`: a target answered.
 */
import { z } from 'zod'

export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran'])
export type Verdict = z.infer<typeof verdictSchema>

/** The body of every failed answer to a caller. Times are in milliseconds. */
export const failureSchema = z.object({
  verdict: verdictSchema,
  code: z.string(),
  message: z.string(),
  status: z.number().int(),
  request: z.string().optional(),
  retryAfterMs: z.number().int().optional(),
  /** The request reached a target, which refused it or may have run it. */
  reached: z.boolean().optional(),
  /** The hops below have made the attempts that the load allows; another one from above would only add to it. */
  noRetry: z.boolean().optional()
})
export type Failure = z.infer<typeof failureSchema>

export function makeFailure (verdict: Verdict, status: number, code: string, message: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined ? { verdict, status, code, message } : { verdict, status, code, message, retryAfterMs }
}
