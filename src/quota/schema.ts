/**
 * Messages by which credits move: from a bucket owner to a node, and between the owners of two zones.
 */
import * as z from 'zod'

const MAX_LOANS = 1_000

export const loanRequestSchema = z.object({
  account: z.string().min(1),
  credits: z.number().int().min(1).max(100_000)
})
export type LoanRequest = z.infer<typeof loanRequestSchema>

export const loanSchema = z.object({
  /** 0 if the bucket is empty. */
  credits: z.number().int().nonnegative(),
  /** Time for which the credits are valid, from the moment the request for them was sent. */
  validMs: z.number().nonnegative().optional(),
  /** Time until credit is likely to be available again. */
  retryAfterMs: z.number().nonnegative().optional(),
  /** Present if the responding host does not issue credits of this account. */
  notOwner: z.literal(true).optional()
})
export type Loan = z.infer<typeof loanSchema>

export const lendRequestSchema = z.object({
  /** True if the owner of another zone asks, which gets only what the responding owner does not need itself. */
  isOwner: z.boolean(),
  loans: z.array(loanRequestSchema).max(MAX_LOANS)
})
export type LendRequest = z.infer<typeof lendRequestSchema>

/** One loan for each of the request, in the same order. */
export const lendResponseSchema = z.object({ loans: z.array(loanSchema).max(MAX_LOANS) })
export type LendResponse = z.infer<typeof lendResponseSchema>
