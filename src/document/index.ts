/**
 * Documents of services: schema, validation, and edits through the platform.
 */
export {
  destinationSchema, documentSchema, limitsSchema, MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_CONNECTIONS, MAX_ROUTE_DEADLINE_MS, MAX_SLOTS, nameSchema,
  retriesSchema, routeClassSchema, routeKindSchema, sentDocumentSchema
} from './schema.js'
export type { Destination, Document, Limits, Retries, Route, RouteClass, RouteKind } from './schema.js'
export { editSchema, historySchema, referrersSchema } from './stored.js'
export type { Edit, PastEdit, Referrers } from './stored.js'
export { convertReadFault } from './context.js'
export { checkDocument } from './queries/check.js'
export { listReferences } from './queries/references.js'
export { listEdits, parseStoredEdit, readEdit, readPastEdits, readPresence } from './queries/read.js'
export type { EditList, StoredEdit } from './queries/read.js'
export { convertStoredObject, findLastValidVersion } from './queries/convert.js'
export type { DocumentVersion } from './queries/convert.js'
export { orderDocuments } from './queries/order.js'
export { findEdit } from './queries/edits.js'
export type { FoundEdit } from './queries/edits.js'
export { applyDocument } from './commands/apply.js'
export type { ApplyRequest } from './commands/apply.js'
export { makeConflictFault } from './commands/accept.js'
export type { AcceptedEdit } from './commands/accept.js'
export { removeDocument } from './commands/remove.js'
export type { RemoveRequest } from './commands/remove.js'
