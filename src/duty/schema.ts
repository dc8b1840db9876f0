/**
 * Leases for the duties of relay (one in each zone) and head (one in each region). A lease thins
 * out traffic; no promise rests on it, so two holders at once only cost bytes. A lease has no
 * time limit: whoever has seen its holder silent may claim it.
 */
import { z } from 'zod'

export const leaseSchema = z.object({
  holder: z.string(),
  peer: z.string(),
  released: z.boolean().default(false)
})
export type Lease = z.infer<typeof leaseSchema>

export function formatRelayDuty (zone: string): string {
  return `relay-${zone}`
}

export function formatHeadDuty (region: string): string {
  return `head-${region}`
}
