/**
 * Rollouts of a new version of a service, and the messages by which the nodes report to its coordinator. Times are in milliseconds.
 */
import * as z from 'zod'
import { storePositionSchema } from '../store/index.js'

export const rolloutStateSchema = z.enum(['running', 'completed', 'rolled_back'])
export type RolloutState = z.infer<typeof rolloutStateSchema>

/**
 * `canary`: a share of the requests goes to the new version. `switching`: the targets of the earlier version are closed. `back`: those of
 * the new version are closed. `held`: nothing is sent to the new version, and nothing is decided.
 */
export const rolloutPhaseSchema = z.enum(['canary', 'switching', 'back', 'held'])
export type RolloutPhase = z.infer<typeof rolloutPhaseSchema>

export const rolloutSchema = z.object({
  service: z.string().min(1),
  newVersion: z.string().min(1),
  durationMs: z.number().positive(),
  /** Distinguishes two rollouts of one service, also of the same version. */
  id: z.string(),
  /** The revision of the object, on which a write of its status is conditioned. */
  revision: z.number().int().nonnegative(),
  state: rolloutStateSchema,
  /** True if the state was read, false if none has been written yet. */
  hasStatus: z.boolean(),
  /** Time since the creation of the rollout. */
  ageMs: z.number().nonnegative()
})
export type Rollout = z.infer<typeof rolloutSchema>

/** All rollouts of the store, as of a position in its history. */
export const rolloutSetSchema = z.object({ position: storePositionSchema, rollouts: z.array(rolloutSchema) })
export type RolloutSet = z.infer<typeof rolloutSetSchema>

const countSchema = z.number().int().nonnegative()

/** The responses of one version on one route. `times` are the counts of successful responses by bin of the response time. */
export const versionCountsSchema = z.object({ responses: countSchema, failures: countSchema, times: z.record(z.string(), countSchema) })
export type VersionCounts = z.infer<typeof versionCountsSchema>

export const routeCountsSchema = z.object({ earlier: versionCountsSchema, next: versionCountsSchema })
export type RouteCounts = z.infer<typeof routeCountsSchema>

export const rolloutReportSchema = z.object({
  host: z.string(),
  /** Distinguishes the processes of a node, whose counts are summed. */
  incarnation: z.number(),
  service: z.string(),
  id: z.string(),
  /** The phase that this node has in force. */
  phase: rolloutPhaseSchema,
  /** Cumulative since this process knows the rollout, by route. */
  routes: z.record(z.string(), routeCountsSchema),
  /** Requests in flight at the targets of this host, by whether their slots are closed. */
  local: z.object({ earlier: countSchema, next: countSchema, isClosed: z.boolean(), inFlight: countSchema })
})
export type RolloutReport = z.infer<typeof rolloutReportSchema>

/** `phase` is absent if the responding node does not know the rollout. */
export const rolloutResponseSchema = z.object({ phase: rolloutPhaseSchema.optional() })
export type RolloutResponse = z.infer<typeof rolloutResponseSchema>

/** The bounds that the platform sets. */
export interface RolloutBounds {
  /** Part of the requests of a service that a bad version may get. */
  exposeShare: number
  /** Requests that a bad version may get besides. */
  exposeSlack: number
  /** Time after the 50th bad response after which a bad version gets nothing. */
  rollbackMs: number
}
