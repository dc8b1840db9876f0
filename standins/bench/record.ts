/**
 * Makes host records of a large fleet for the benchmarks.
 */
import { announcementSchema } from '../../src/membership/index.js'
import type { HostRecord } from '../../src/membership/index.js'

export function makeBenchRecord (index: number, { zones, services }: { zones: number, services: number }, sequence = 1): HostRecord {
  const zone = index % zones
  const ip = `127.${zone}.${index >> 8}.${index & 255}`
  const announcement = announcementSchema.parse({ service: `service-${index % services}`, target: `t-${index}`, address: `${ip}:8080` })
  return {
    host: `host-${String(index).padStart(5, '0')}`,
    zone: `zone-${zone}`,
    region: `region-${zone % 4}`,
    inbound: `${ip}:7401`,
    peer: `${ip}:7402`,
    admin: `${ip}:7404`,
    incarnation: 1_796_000_000_000 + index * 7_919,
    sequence,
    state: 'serving',
    targets: [announcement],
    processes: [],
    marks: []
  }
}
