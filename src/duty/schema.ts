/**
 * Leases for the duties of relay (one in each zone) and head (one in each region). A lease thins
 * out traffic; no promise rests on it, so two holders at once only cost bytes.
 */
import { z } from 'zod'

export const leaseSchema = z.object({
  holder: z.string(),
  peer: z.string(),
  /** Raised at each renewal; an unchanged count over LEASE_MS means that the holder is gone. */
  renewals: z.number().int(),
  released: z.boolean().default(false)
})
export type Lease = z.infer<typeof leaseSchema>

export const RENEW_INTERVAL_MS = 500
export const LEASE_MS = 1_500

export function formatRelayDuty (zone: string): string {
  return `relay-${zone}`
}

export function formatHeadDuty (region: string): string {
  return `head-${region}`
}
