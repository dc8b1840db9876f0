/**
 * Derives the targets that requests are routed to from host records.
 */
import type { HostRecord, Target } from '../schema.js'

export function deriveTargets (record: HostRecord): Target[] {
  return record.targets.map(announcement => ({
    id: `${record.host}/${announcement.target}`,
    service: announcement.service,
    host: record.host,
    zone: record.zone,
    region: record.region,
    inbound: record.inbound,
    address: announcement.address,
    slots: announcement.slots,
    connections: announcement.connections,
    labels: announcement.labels,
    state: record.state === 'leaving' ? 'leaving' : announcement.state,
    ...announcement.version === undefined ? {} : { version: announcement.version, startedAt: findStart(record, announcement.target) }
  }))
}

function findStart ({ processes }: HostRecord, target: string): number | undefined {
  return processes.find(process => process.target === target)?.startedAt
}
