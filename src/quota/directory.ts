/**
 * Which host owns the bucket of an account in each zone, by the hosts that this node knows, whether they respond or not.
 */
import type { HostRecord } from '../membership/index.js'
import { selectOwner } from './queries/owner.js'

export interface Location { host: string, zone: string, region: string }

export type OwnerHost = Pick<HostRecord, 'host' | 'zone' | 'region' | 'peer'>

type KnownHost = Pick<HostRecord, 'host' | 'zone' | 'region' | 'peer' | 'state' | 'gone'>

export class OwnerDirectory {
  private readonly hostsByZone = new Map<string, Map<string, OwnerHost>>()
  private readonly regions: Map<string, string>
  /** Cached owners by account, cleared when the hosts change. */
  private readonly owners = new Map<string, OwnerHost[]>()

  /** `zones` maps each zone to its region. If it is empty, the zones of all hosts that were ever known count. */
  constructor (private readonly location: Location, private readonly zones: ReadonlyMap<string, string>) {
    this.regions = new Map(zones.size > 0 ? zones : [[location.zone, location.region]])
  }

  /** The divisor of all rates. It does not depend on which zones can be reached. */
  get zoneCount (): number {
    return this.regions.size
  }

  /** Takes over a record that is new or has changed. */
  update (record: KnownHost): void {
    const { host, zone, region, peer, state, gone } = record
    const isOwner = gone !== true && state === 'serving'
    const hosts = this.hostsByZone.get(zone) ?? new Map<string, OwnerHost>()
    if (isOwner ? hosts.get(host)?.peer === peer : !hosts.has(host)) return
    if (isOwner) hosts.set(host, { host, zone, region, peer })
    else hosts.delete(host)
    this.hostsByZone.set(zone, hosts)
    if (this.zones.size === 0) this.regions.set(zone, region)
    this.owners.clear()
  }

  /** True once this node has announced itself, after it has learned of the other hosts. */
  get hasLocalHost (): boolean {
    return this.hostsByZone.get(this.location.zone)?.has(this.location.host) === true
  }

  listZoneHosts (): string[] {
    return [...this.hostsByZone.get(this.location.zone)?.keys() ?? []]
  }

  /** Returns the owners of all zones, nearest first. */
  listOwners (account: string): OwnerHost[] {
    const known = this.owners.get(account)
    if (known !== undefined) return known
    const zones = [...this.regions].sort((left, right) => this.measureDistance(left) - this.measureDistance(right))
    const owners = zones.flatMap(([zone]) => {
      const hosts = this.hostsByZone.get(zone)
      return hosts?.get(selectOwner(account, hosts.keys()) ?? '') ?? []
    })
    this.owners.set(account, owners)
    return owners
  }

  /** True if this node owns the bucket of its zone. */
  isOwner (account: string): boolean {
    return this.listOwners(account).some(({ host }) => host === this.location.host)
  }

  /** The own zone, then zones of the region, each node beginning with the next one by name so that they do not all ask the same. */
  private measureDistance ([zone, region]: [string, string]): number {
    const names = [...this.regions.keys()].sort()
    const steps = (names.indexOf(zone) - names.indexOf(this.location.zone) + names.length) % names.length
    if (zone === this.location.zone) return -1
    return region === this.location.region ? steps : names.length + steps
  }
}
