/**
 * Documents of services: schema, checks, and acceptance through the platform.
 */
export { destinationSchema, documentSchema, nameSchema, routeClassSchema, routeKindSchema } from './schema.js'
export type { Destination, Document, Limits, Retries, Route, RouteClass, RouteKind } from './schema.js'
export { editSchema, historySchema, referrersSchema } from './stored.js'
export type { Edit, PastEdit, Referrers } from './stored.js'
export { checkDocument } from './queries/check.js'
export { listReferences } from './queries/references.js'
export { listEdits, parseStored, readEdit, readPastEdits } from './queries/read.js'
export type { EditList, StoredEdit } from './queries/read.js'
export { applyDocument } from './commands/apply.js'
export type { ApplyRequest } from './commands/apply.js'
export type { Accepted } from './commands/accept.js'
export { removeDocument } from './commands/remove.js'
export type { RemoveRequest } from './commands/remove.js'
