/**
 * Documents of services: schema, checks, and acceptance through the platform.
 */
export { destinationSchema, documentSchema, editSchema, nameSchema, routeClassSchema, routeKindSchema } from './schema.js'
export type { Destination, Document, Edit, Limits, Retries, Route, RouteClass, RouteKind } from './schema.js'
export { checkDocument } from './queries/check.js'
export { listReferences } from './queries/references.js'
export { listEdits, parseStored, readEdit } from './queries/read.js'
export type { StoredEdit } from './queries/read.js'
export { applyDocument } from './commands/apply.js'
export type { Accepted, ApplyRequest } from './commands/apply.js'
