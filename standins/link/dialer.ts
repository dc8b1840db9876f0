/**
 * Connects to hosts of other zones and to the platform through links with the delays of a layout. Counts the bytes of the
 * peer port between zones and between regions, and the bytes to and from the platform of hosts in other regions.
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
  private linkStates = new Map<string, LinkState>()

  /** `localIndex` is the index of the host that this process simulates. */
  constructor (private readonly placement: Placement, private readonly localIndex: number) {
    super()
  }

  override resolve (address: string): string {
    const [ip = '', port = ''] = address.split(':')
    const localHost = this.placement.hosts.find(host => host.index === this.localIndex)
    const remoteHost = this.placement.hosts.find(host => host.ip === ip)
    if (localHost === undefined || remoteHost === undefined || remoteHost.zone === localHost.zone) return address
    const { layout } = this.placement
    const linkKind = remoteHost.region === localHost.region ? 'zone' : 'region'
    const delayMs = linkKind === 'zone' ? layout.zoneDelayMs : layout.regionDelayMs
    const isPeerPort = Number(port) === PORTS.peer
    return this.openLink(remoteHost.index, Number(port), { host: ip, port: Number(port) }, delayMs, remoteHost.zone, bytes => {
      if (isPeerPort) this.controlBytes[linkKind] += bytes
    })
  }

  /** Returns the URL at which this host reaches the platform. */
  resolvePlatform (url: string): string {
    const { hostname, port } = new URL(url)
    const localHost = this.placement.hosts.find(host => host.index === this.localIndex)
    const { layout } = this.placement
    const isPlatformRegion = localHost?.region === layout.platformRegion
    const delayMs = isPlatformRegion ? layout.zoneDelayMs : layout.regionDelayMs
    const destination = { host: hostname, port: Number(port) }
    const address = this.openLink(PLATFORM_INDEX, destination.port, destination, delayMs, 'platform', bytes => {
      if (!isPlatformRegion) this.controlBytes.platform += bytes
    })
    return `http://${address}`
  }

  /** Sets the state of the links to a zone, or to `platform`. */
  setLinks (zone: string, state: LinkState): void {
    this.linkStates.set(zone, state)
    for (const link of this.links.values()) if (link.zone === zone) link.forwarder.setState(state)
  }

  private openLink (
    remoteIndex: number, port: number, destination: { host: string, port: number }, delayMs: number, zone: string, onBytes: (bytes: number) => void
  ): string {
    const host = `127.${this.placement.block + 1}.${this.localIndex}.${remoteIndex}`
    const address = `${host}:${port}`
    if (!this.links.has(address)) {
      const forwarder = new Forwarder({ listen: { host, port }, destination, delayMs, onBytes })
      forwarder.setState(this.linkStates.get(zone) ?? 'up')
      this.links.set(address, { forwarder, zone })
    }
    return address
  }
}
