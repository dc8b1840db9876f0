/**
 * The faults of one soak run, derived from its seed. Faults come in series and overlap; the run ends without faults, so that the
 * fleet has to recover.
 */
import * as fc from 'fast-check'
import * as z from 'zod'

export const faultKindSchema = z.enum([
  // Of a node process: restarted after the fault, except for a pause.
  'node-kill', 'node-stop', 'node-pause', 'herd-kill',
  // Of the store, for all nodes.
  'store-refuses', 'store-silent', 'store-loses-answers', 'store-slow', 'store-forgets', 'store-restored',
  // Of the connection of one node to the store.
  'store-link-silent', 'store-link-reset', 'store-link-one-way',
  // Of the connections of one node to its target.
  'target-link-silent', 'target-link-reset', 'target-link-one-way', 'target-link-slow',
  // Of a target process.
  'target-crash', 'target-leave', 'target-reuse',
  // Of the responses of a target.
  'rejections', 'lost-answer', 'repeated-refusal', 'second-answer', 'garbage', 'endless', 'truncated', 'hang',
  // Edits by the operator.
  'edit', 'edit-storm'
])
export type FaultKind = z.infer<typeof faultKindSchema>

export const faultSchema = z.object({
  kind: faultKindSchema,
  /** Milliseconds from the start of the traffic. */
  atMs: z.number().int().nonnegative(),
  forMs: z.number().int().positive(),
  /** Index of the host. */
  host: z.number().int().nonnegative()
})
export type Fault = z.infer<typeof faultSchema>

export interface PlanOptions { seed: number, durationMs: number, hosts: number }

/** The mean time between the starts of two faults. */
const FAULT_INTERVAL_MS = 900
const MIN_FAULT_MS = 300
const MAX_FAULT_MS = 4_000
/** One of this many faults starts together with another one. */
const SERIES_INTERVAL = 3

/** The same seed and options always yield the same faults, in order of their start. */
export function makePlan ({ seed, durationMs, hosts }: PlanOptions): Fault[] {
  const count = Math.max(1, Math.round(durationMs / FAULT_INTERVAL_MS))
  const fault = fc.record({
    kind: fc.constantFrom(...faultKindSchema.options),
    atMs: fc.integer({ min: 0, max: durationMs }),
    isSeries: fc.integer({ min: 1, max: SERIES_INTERVAL }).map(value => value === 1),
    forMs: fc.integer({ min: MIN_FAULT_MS, max: MAX_FAULT_MS }),
    host: fc.integer({ min: 0, max: hosts - 1 })
  })
  // Without a bias towards the ends of a range, where most faults would otherwise be.
  const [drawn = []] = fc.sample(fc.noBias(fc.array(fault, { minLength: count, maxLength: count })), { seed, numRuns: 1 })
  const faults: Fault[] = []
  for (const { kind, atMs, isSeries, forMs, host } of drawn) {
    faults.push({ kind, atMs: isSeries ? faults.at(-1)?.atMs ?? atMs : atMs, forMs, host })
  }
  return faults.sort((left, right) => left.atMs - right.atMs)
}
