/**
 * The path of a request, from a caller to a target and back.
 */
export { HEADERS, MAX_HOPS } from './schema.js'
export type { Call } from './schema.js'
export { LocalTargets } from './commands/admit.js'
export { Exchanger, UndiciExchanger } from './exchange.js'
export { createEdge } from './edge.js'
export { Picker } from './picker.js'
export { ZonePicker } from './zonepicker.js'
export { BudgetRetryPolicy, RetryPolicy } from './retry.js'
export { SlotGate } from './slots.js'
export type { Permit } from './slots.js'
export { resolveRoute } from './queries/route.js'
export { serveCaller } from './tasks/caller.js'
export type { CallerContext } from './tasks/caller.js'
export { serveInbound } from './tasks/inbound.js'
export type { InboundContext } from './tasks/inbound.js'
