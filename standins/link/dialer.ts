/**
 * Connects to hosts of other zones through links with the delays of a layout, and to the platform
 * from other regions. Counts the bytes on them.
 */
import { Dialer } from '../../src/peer/index.js'
import type { Placement } from '../layout/schema.js'
import { PORTS } from '../layout/schema.js'
import { Forwarder } from './forwarder.js'
import type { LinkState } from './forwarder.js'

export interface LinkBytes { zone: number, region: number, platform: number }

const PLATFORM_INDEX = 255

export class LinkDialer extends Dialer {
  readonly controlBytes: LinkBytes = { zone: 0, region: 0, platform: 0 }
  private readonly links = new Map<string, { forwarder: Forwarder, zone: string }>()
  private cuts = new Map<string, LinkState>()

  /** `viewer` is the index of the host that this process stands for. */
  constructor (private readonly placement: Placement, private readonly viewer: number) {
    super()
  }

  override resolve (address: string): string {
    const [ip = '', port = ''] = address.split(':')
    const own = this.placement.hosts.find(host => host.index === this.viewer)
    const other = this.placement.hosts.find(host => host.ip === ip)
    if (own === undefined || other === undefined || other.zone === own.zone) return address
    const { layout } = this.placement
    const kind = other.region === own.region ? 'zone' : 'region'
    const delayMs = kind === 'zone' ? layout.zoneDelayMs : layout.regionDelayMs
    const counted = Number(port) === PORTS.peer
    return this.openLink(other.index, Number(port), { host: ip, port: Number(port) }, delayMs, other.zone, bytes => {
      if (counted) this.controlBytes[kind] += bytes
    })
  }

  /** The platform's URL as this host reaches it. */
  resolvePlatform (url: string): string {
    const { hostname, port } = new URL(url)
    const own = this.placement.hosts.find(host => host.index === this.viewer)
    const { layout } = this.placement
    const near = own?.region === layout.platformRegion
    const delayMs = near ? layout.zoneDelayMs : layout.regionDelayMs
    const to = { host: hostname, port: Number(port) }
    const address = this.openLink(PLATFORM_INDEX, to.port, to, delayMs, 'platform', bytes => {
      if (!near) this.controlBytes.platform += bytes
    })
    return `http://${address}`
  }

  /** Sets the state of the links to a zone, or to `platform`. */
  setLinks (zone: string, state: LinkState): void {
    this.cuts.set(zone, state)
    for (const link of this.links.values()) if (link.zone === zone) link.forwarder.setState(state)
  }

  private openLink (
    index: number, port: number, to: { host: string, port: number }, delayMs: number, zone: string, onBytes: (bytes: number) => void
  ): string {
    const host = `127.${this.placement.block + 1}.${this.viewer}.${index}`
    const address = `${host}:${port}`
    if (!this.links.has(address)) {
      const forwarder = new Forwarder({ listen: { host, port }, to, delayMs, onBytes })
      forwarder.setState(this.cuts.get(zone) ?? 'up')
      this.links.set(address, { forwarder, zone })
    }
    return address
  }
}
