/**
 * Client accounts and their keys.
 */
export { accountSchema, credentialSchema } from './schema.js'
export type { Account, Credential } from './schema.js'
export { AccountTable, hashKey } from './table.js'
export { authorizeRequest } from './queries/authorize.js'
