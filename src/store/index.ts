/**
 * The platform's object API: abstract store, HTTP client and counting of operations.
 */
export { objectKindSchema, MAX_VALUE_BYTES, objectListSchema, removalSchema, storedObjectSchema, storeFaultSchema, storePositionSchema, watchEventSchema, writeSchema } from './schema.js'
export type { ObjectKind, ObjectList, Removal, StoredObject, StoreFault, StorePosition, WatchEvent, Write } from './schema.js'
export { comparePositions } from './queries/position.js'
export { ObjectStore, StoreCommands, StoreQueries } from './store.js'
export type { Freshness } from './store.js'
export { HttpObjectStore } from './http.js'
export { CountingObjectStore } from './counting.js'
export type { CountCall } from './counting.js'
