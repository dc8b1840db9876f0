/**
 * The operator of a soak run: writes versions of the configuration, and checks at each node that it serves them. Each version adds a
 * route and removes an old one.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import type { ObjectsServer } from '../objects/server.js'
import type { SoakHost } from './host.js'
import type { SoakRecord } from './record.js'

const COLUMNS = ['name', 'host', 'pathPrefix', 'kind', 'timeout', 'targetLatency', 'priority', 'service', 'maxAttempts']
/** Routes of this many versions are in force at a time. */
const KEPT_VERSIONS = 3
/** An accepted version has to be in force on every undisturbed node within this time. */
const CONVERGENCE_BOUND_MS = 5_000
/** A node that was disturbed within this time need not know the newest version yet. */
const SETTLE_MS = 6_000
const PROBE_INTERVAL_MS = 150
const PROBE_TIMEOUT_MS = 1_000
const NOT_FOUND = 404
const REJECTED = 503
const NOT_READY_CODE = '"code":"not_ready"'

interface SeenVersion { version: number, at: number, incarnation: number }

export class SoakOperator {
  private version = 0
  private readonly acceptedAt = new Map<number, number>()
  /** The newest version that each host has served. */
  private readonly seen = new Map<number, SeenVersion>()
  /** Time of the last disturbance of the store, in milliseconds since the start of the run. */
  storeDisturbedAt = 0

  constructor (private readonly store: ObjectsServer, private readonly services: readonly string[], private readonly record: SoakRecord) {}

  edit (): void {
    this.version += 1
    this.writeNewest()
    this.acceptedAt.set(this.version, this.record.elapsedMs)
  }

  /** Writes the newest version, which the store may have lost. */
  writeNewest (): void {
    this.store.writeObject('config', 'main', this.makeConfiguration())
  }

  /** Sends a request for a route of the newest or of a removed version to a node, one after the other. */
  async checkPeriodically (hosts: readonly SoakHost[], signal: AbortSignal): Promise<void> {
    for (let round = 0; !signal.aborted; round += 1) {
      const host = hosts[round % hosts.length]
      const version = round % (2 * hosts.length) < hosts.length ? this.version : this.version - KEPT_VERSIONS
      if (host?.isNodeRunning === true) await this.checkHost(host, version)
      await delay(PROBE_INTERVAL_MS)
    }
  }

  private async checkHost (host: SoakHost, version: number): Promise<void> {
    const { record } = this
    if (version < 1) return
    const { incarnation } = host
    const sentAt = record.elapsedMs
    const newest = this.version
    const { status, isReady } = await this.queryRoute(host, version)
    if (!isReady) {
      this.checkStarting(host, incarnation, sentAt)
      return
    }
    const isOvertaken = version <= this.version - KEPT_VERSIONS && version > newest - KEPT_VERSIONS
    if (status === undefined || isOvertaken || host.incarnation !== incarnation) return
    const { index } = host.options
    const seen = this.seen.get(index)
    const isKnown = seen !== undefined && seen.incarnation === incarnation && seen.at < sentAt
    const isRemoved = version <= newest - KEPT_VERSIONS
    if (!isRemoved && status === NOT_FOUND && isKnown && seen.version >= version && seen.version < version + KEPT_VERSIONS) {
      record.recordViolation(`host ${index} went back: it had version ${seen.version} in force and has no route of version ${version}`)
    }
    if (this.isUndisturbed(host, sentAt) && this.isDue(newest, sentAt)) {
      if (!isRemoved && status === NOT_FOUND) record.recordViolation(`host ${index} has no route of version ${version} ${CONVERGENCE_BOUND_MS} ms after its acceptance`)
      if (isRemoved && status !== NOT_FOUND) record.recordViolation(`host ${index} still serves a route that version ${newest} removed: ${status}`)
    }
    const isServed = !isRemoved && status !== NOT_FOUND && status < 500
    if (isServed && (!isKnown || seen.version < version)) this.seen.set(index, { version, at: record.elapsedMs, incarnation })
  }

  /** A node that has just started does not know its routes yet. */
  private checkStarting (host: SoakHost, incarnation: number, at: number): void {
    if (host.incarnation !== incarnation || at - host.startedAt <= SETTLE_MS || !this.isUndisturbed(host, at)) return
    this.record.recordViolation(`host ${host.options.index} is not ready ${SETTLE_MS} ms after its start, without a disturbance since`)
  }

  /** The status is undefined without a response. `isReady` is false if the node says that it has no configuration yet. */
  private async queryRoute (host: SoakHost, version: number): Promise<{ status?: number, isReady: boolean }> {
    const probe = this.record.beginRequest(this.services[0] ?? '', 'idempotent', host.options.index)
    try {
      const response = await request(`http://${host.addresses.caller}/version-${version}/x`, {
        headers: { host: 'soak.example', 'x-attempt-id': probe.id, 'x-timeout-ms': String(PROBE_TIMEOUT_MS) },
        signal: AbortSignal.timeout(2 * PROBE_TIMEOUT_MS)
      })
      const text = await response.body.text()
      probe.status = response.statusCode
      return { status: response.statusCode, isReady: response.statusCode !== REJECTED || !text.includes(NOT_READY_CODE) }
    } catch {
      return { isReady: true }
    }
  }

  private isDue (version: number, at: number): boolean {
    return at - (this.acceptedAt.get(version) ?? Infinity) > CONVERGENCE_BOUND_MS
  }

  private isUndisturbed (host: SoakHost, at: number): boolean {
    return at - Math.max(host.disturbedAt, this.storeDisturbedAt) > SETTLE_MS
  }

  private makeConfiguration (): unknown {
    const rows = this.services.flatMap(service => [
      [`${service}-plain`, 'soak.example', `/${service}/plain/`, 'unsafe', '2s', '600ms', 0, service, 2],
      [`${service}-idempotent`, 'soak.example', `/${service}/idempotent/`, 'safe', '2s', '600ms', 1, service, 2]
    ])
    for (let version = Math.max(1, this.version - KEPT_VERSIONS + 1); version <= this.version; version += 1) {
      rows.push([`version-${version}`, 'soak.example', `/version-${version}/`, 'safe', '1s', '600ms', 2, this.services[0] ?? '', 2])
    }
    return {
      version: this.version,
      routes: { columns: COLUMNS, rows },
      services: { columns: ['name', 'healthPath', 'maxConns'], rows: this.services.map(service => [service, '/healthz', 130]) },
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeout: '5s', idleTimeout: '10s' }
    }
  }
}
