/**
 * Rollouts of a new version of a service beside the earlier one.
 */
export { RolloutCall, VERSION_CLOSED } from './call.js'
export type { OnRolloutRequest, RolloutAttempt } from './call.js'
export { advanceRollout, runCoordination } from './tasks/coordinate.js'
export { followRollouts } from './tasks/follow.js'
export { RolloutReporter } from './tasks/report.js'
export { RolloutCoordinators } from './coordinators.js'
export { OpenGate, VersionGate } from './gate.js'
export { RolloutCoordinator } from './coordinator.js'
export type { RolloutDecision, RolloutHosts } from './coordinator.js'
export { ResponseCounts, sumCounts } from './counts.js'
export { CountingRolloutStore } from './counting.js'
export { FALSE_ALARM_RATE, SequentialEvidence, VersionEvidence } from './evidence.js'
export type { Evidence } from './evidence.js'
export { RolloutGuard } from './guard.js'
export { orderHosts, selectEstablished } from './queries/versions.js'
export { rolloutReportSchema, rolloutResponseSchema, rolloutSetSchema, rolloutStateSchema } from './schema.js'
export type {
  Rollout, RolloutBounds, RolloutPhase, RolloutReport, RolloutResponse, RolloutSet, RolloutState, RouteCounts
} from './schema.js'
export type { LocalTargetsReport, ServiceRollout } from './service.js'
export { RolloutStore } from './store.js'
export type { RolloutChanges } from './store.js'
