/**
 * Settings of a node and its ports that exist in every deployment. Addresses are `ip:port`.
 */
import * as z from 'zod'
import { addressSchema } from '../core/index.js'
import { placeNameSchema } from '../membership/index.js'

export const nodeSettingsSchema = z.object({
  host: placeNameSchema.describe('name of this host, unique in the fleet'),
  zone: placeNameSchema.describe('availability zone of this host'),
  region: placeNameSchema.describe('region of this host'),
  caller: addressSchema.describe('address for callers of this host'),
  inbound: addressSchema.describe('address for requests from other nodes'),
  peer: addressSchema.describe('address for control traffic from other nodes and operators'),
  admin: addressSchema.default('127.0.0.1:7404').describe('address for health and metrics')
})
export type NodeSettings = z.infer<typeof nodeSettingsSchema>

/** Timeouts that may change while the node runs, in milliseconds. */
export interface NodeTimeouts {
  /** A target of the local host expires after this time without a heartbeat. */
  heartbeatTimeoutMs: number
  /** Time from a termination signal until requests that are still in flight are aborted. */
  drainMs: number
}
