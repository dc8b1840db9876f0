/**
 * Targets of a service as routing sees them, derived from host records.
 */
import type { HostRecord, Target } from '../schema.js'

export function deriveTargets (record: HostRecord): Target[] {
  return record.targets.map(one => ({
    id: `${record.host}/${one.target}`,
    service: one.service,
    host: record.host,
    zone: record.zone,
    region: record.region,
    inbound: record.inbound,
    address: one.address,
    slots: one.slots,
    connections: one.connections,
    labels: one.labels,
    state: record.state === 'leaving' ? 'leaving' : one.state
  }))
}
