/**
 * Layouts of the two deployments: regions, zones, hosts and services. Each host has a separate loopback
 * address, 127.BLOCK.ZONE.HOST, so that all hosts can use the same ports.
 */
export interface ServiceLayout { service: string, targets: number, serviceMs: number }

export interface Layout {
  name: string
  regions: ReadonlyArray<{ region: string, zones: readonly string[] }>
  platformRegion: string
  services: readonly ServiceLayout[]
  zoneDelayMs: number
  regionDelayMs: number
}

export const MANDAP: Layout = {
  name: 'Mehndi Mandap',
  regions: [
    { region: 'gj-central', zones: ['gj-central-a', 'gj-central-b'] },
    { region: 'gj-south', zones: ['gj-south-a', 'gj-south-b'] },
    { region: 'gj-saurashtra', zones: ['gj-saurashtra-a', 'gj-saurashtra-b'] }
  ],
  platformRegion: 'gj-central',
  services: [{ service: 'counter-desk', targets: 8, serviceMs: 5 }, { service: 'design-gallery', targets: 6, serviceMs: 10 }],
  zoneDelayMs: 0.5,
  regionDelayMs: 10
}

export const KAMISORI: Layout = {
  name: 'Kamisori',
  regions: [
    { region: 'sapporo', zones: ['sapporo-a', 'sapporo-b'] },
    { region: 'asahikawa', zones: ['asahikawa-a', 'asahikawa-b'] },
    { region: 'obihiro', zones: ['obihiro-a', 'obihiro-b'] }
  ],
  platformRegion: 'sapporo',
  services: [{ service: 'booking', targets: 7, serviceMs: 5 }, { service: 'gallery', targets: 6, serviceMs: 10 }],
  zoneDelayMs: 0.75,
  regionDelayMs: 10
}

export const PORTS = { caller: 7400, inbound: 7401, peer: 7402, local: 7403, admin: 7404, links: 7405, target: 8080 } as const

export interface HostLayout {
  /** Unique in the layout, from 1 to 254. */
  index: number
  host: string
  zone: string
  zoneIndex: number
  region: string
  ip: string
  service: string
  serviceMs: number
}

export interface Placement { block: number, layout: Layout, hosts: HostLayout[] }

export function listZones (layout: Layout): Array<{ zone: string, region: string }> {
  return layout.regions.flatMap(({ region, zones }) => zones.map(zone => ({ zone, region })))
}

/** Distributes the targets evenly over the zones, with one host per target. `perService` overrides the number of targets. */
export function placeHosts (layout: Layout, block: number, perService?: number): Placement {
  const zones = listZones(layout)
  const hosts: HostLayout[] = []
  for (const { service, targets, serviceMs } of layout.services) {
    for (let targetNumber = 0; targetNumber < (perService ?? targets); targetNumber += 1) {
      const index = hosts.length + 1
      const zoneIndex = (index - 1) % zones.length
      const location = zones[zoneIndex] ?? { zone: '', region: '' }
      hosts.push({
        index,
        host: `host-${String(index).padStart(3, '0')}`,
        ...location,
        zoneIndex,
        ip: `127.${block}.${zoneIndex + 1}.${index}`,
        service,
        serviceMs
      })
    }
  }
  return { block, layout, hosts }
}

export function formatAddress (host: HostLayout, port: keyof typeof PORTS): string {
  return `${host.ip}:${PORTS[port]}`
}

/** Lists the flags of `comfreyspoke-node` for a host. */
export function listNodeFlags (host: HostLayout, platform: string): string[] {
  const flags: Record<string, string> = {
    host: host.host,
    zone: host.zone,
    region: host.region,
    platform,
    caller: formatAddress(host, 'caller'),
    inbound: formatAddress(host, 'inbound'),
    peer: formatAddress(host, 'peer'),
    local: formatAddress(host, 'local'),
    admin: formatAddress(host, 'admin')
  }
  return Object.entries(flags).map(([name, value]) => `--${name}=${value}`)
}
