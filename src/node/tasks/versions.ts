/**
 * The task of a reader that tells other nodes of its zone of new versions of the configuration. A version from the store goes to the
 * other readers as well, in case the store does not serve them, and each reader passes it on to its own part of the zone. Versions
 * that follow each other closely go out together.
 */
import { deriveChange } from '../../configuration/index.js'
import type { ConfigurationChange } from '../../configuration/index.js'
import type { Clock } from '../../core/index.js'
import type { ZoneRoles } from '../queries/readers.js'
import type { NodeState } from '../state.js'

export interface VersionAnnouncerContext {
  state: NodeState
  clock: Clock
  deriveRoles: () => ZoneRoles
  sendChange: (host: string, change: ConfigurationChange) => Promise<void>
}

const ANNOUNCE_INTERVAL_MS = 400

export class VersionAnnouncer {
  /** The version from which the next change is derived, while a version has not been announced yet. */
  private base: number | undefined
  private isForReaders = false
  private isRunning = false

  constructor (private readonly context: VersionAnnouncerContext) {}

  /** `previous` is the version that was in force before. Does nothing on a node that is no reader. */
  announce (previous: number, isFromStore: boolean): void {
    this.base ??= previous
    this.isForReaders ||= isFromStore
    if (!this.isRunning) void this.run()
  }

  private async run (): Promise<void> {
    const { clock } = this.context
    this.isRunning = true
    try {
      while (this.base !== undefined) {
        await this.sendPending(this.base)
        await clock.sleep(ANNOUNCE_INTERVAL_MS)
      }
    } finally {
      this.isRunning = false
    }
  }

  private async sendPending (from: number): Promise<void> {
    const { state, deriveRoles, sendChange } = this.context
    const { host } = state.identity
    const { readers, hasFollowers, listFollowers } = deriveRoles()
    const otherReaders = this.isForReaders && hasFollowers ? readers.filter(reader => reader !== host) : []
    this.base = undefined
    this.isForReaders = false
    const base = state.history.find(from)
    if (base === undefined || state.configuration === undefined || !readers.includes(host)) return
    const change = deriveChange(base, state.configuration)
    await Promise.all([...otherReaders, ...listFollowers(host)].map(async receiver => { await sendChange(receiver, change) }))
  }
}
