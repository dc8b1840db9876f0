/**
 * Which host owns the bucket of an account in each zone, by the hosts that this node knows, whether they respond or not.
 */
import { getOrMake } from '../core/index.js'
import type { HostRecord } from '../membership/index.js'
import { pickHigher, makeRankedHost, selectOwner } from './queries/owner.js'
import type { RankedHost } from './queries/owner.js'

export interface Location { host: string, zone: string, region: string }

export type OwnerHost = Pick<HostRecord, 'host' | 'zone' | 'region' | 'peer'>

type KnownHost = Pick<HostRecord, 'host' | 'zone' | 'region' | 'peer' | 'state' | 'gone'>

export class OwnerDirectory {
  private readonly hostsByZone = new Map<string, Map<string, OwnerHost>>()
  private readonly regions: Map<string, string>
  private zonesByDistance: readonly string[] = []
  /** The owners that were looked up, by zone and account. With a change of a host, only the accounts that it owns are ranked anew. */
  private readonly owners = new Map<string, Map<string, RankedHost | undefined>>()

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
    const owners = this.owners.get(zone) ?? new Map<string, RankedHost | undefined>()
    for (const [account, owner] of owners) {
      if (isOwner) owners.set(account, pickHigher(owner, makeRankedHost(account, host)))
      else if (owner?.host === host) owners.set(account, selectOwner(account, hosts.keys()))
    }
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
    return this.listZones().flatMap(zone => this.findOwner(account, zone) ?? [])
  }

  /** True if this node owns the bucket of its zone. */
  isOwner (account: string): boolean {
    return this.findOwner(account, this.location.zone)?.host === this.location.host
  }

  /** Forgets the owners of accounts that are no longer known. */
  prune (isKnown: (account: string) => boolean): void {
    for (const owners of this.owners.values()) for (const account of owners.keys()) if (!isKnown(account)) owners.delete(account)
  }

  private findOwner (account: string, zone: string): OwnerHost | undefined {
    const hosts = this.hostsByZone.get(zone)
    if (hosts === undefined) return undefined
    const owners = getOrMake(this.owners, zone, () => new Map<string, RankedHost | undefined>())
    if (!owners.has(account)) owners.set(account, selectOwner(account, hosts.keys()))
    return hosts.get(owners.get(account)?.host ?? '')
  }

  private listZones (): readonly string[] {
    if (this.zonesByDistance.length !== this.regions.size) {
      const zones = [...this.regions].sort((left, right) => this.measureDistance(left) - this.measureDistance(right))
      this.zonesByDistance = zones.map(([zone]) => zone)
    }
    return this.zonesByDistance
  }

  /** The own zone, then zones of the region, each node beginning with the next one by name so that they do not all ask the same. */
  private measureDistance ([zone, region]: [string, string]): number {
    const names = [...this.regions.keys()].sort()
    const steps = (names.indexOf(zone) - names.indexOf(this.location.zone) + names.length) % names.length
    if (zone === this.location.zone) return -1
    return region === this.location.region ? steps : names.length + steps
  }
}
