/**
 * Client accounts. Each has keys, of which only hashes are known to the nodes.
 */
import * as z from 'zod'
import { routeClassSchema } from '../document/index.js'

export const accountSchema = z.object({
  name: z.string().min(1),
  /** SHA-256 hashes of the keys, in base64url. */
  keyHashes: z.array(z.string()),
  /** Takes precedence over the class of the route. */
  class: routeClassSchema.optional(),
  /** Requests a second that all nodes together accept, 0 for no limit. */
  ratePerSecond: z.number().nonnegative(),
  /** Requests that all nodes together accept beyond the rate after a time without any. */
  burst: z.number().nonnegative()
})
export type Account = z.infer<typeof accountSchema>

/** What a request contains to identify its account. `invalid`: credentials that cannot be read, or more than one. */
export const credentialSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('none') }),
  z.object({ kind: z.literal('invalid') }),
  z.object({ kind: z.literal('key'), hash: z.string() })
])
export type Credential = z.infer<typeof credentialSchema>
