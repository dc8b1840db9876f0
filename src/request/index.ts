/**
 * The path of a request, from a caller to a target and back.
 */
export { HEADERS, MAX_HOPS } from './schema.js'
export type { Call } from './schema.js'
export { LocalTargets } from './commands/admit.js'
export { Exchanger, UndiciExchanger } from './exchange.js'
export { Picker, ZonePicker } from './picker.js'
export { BudgetRetryPolicy, RetryPolicy } from './retry.js'
export { SlotGate } from './slots.js'
export { resolveRoute } from './queries/route.js'
export { serveCaller } from './tasks/caller.js'
export type { CallerContext } from './tasks/caller.js'
export { CrashWatch } from './commands/crash.js'
export { isRefused } from './probe.js'
export { KeptBodies } from './commands/keep.js'
export type { OnceContext } from './tasks/once.js'
export { serveInbound } from './tasks/inbound.js'
export type { InboundContext } from './tasks/inbound.js'
