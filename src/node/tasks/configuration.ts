/**
 * The task that follows the source of the configuration. It reads the source, then watches for changes,
 * and reads again whenever a change in between may have been missed.
 */
import type { ConfigurationSource, ConfigurationUpdate } from '../../configuration/index.js'
import { computeBackoff } from '../../core/index.js'
import type { Clock, Random, StructuredLog } from '../../core/index.js'
import { comparePositions } from '../../store/index.js'
import type { Freshness, StoreFault, StorePosition } from '../../store/index.js'

export interface ConfigurationContext {
  source: ConfigurationSource
  clock: Clock
  random: Random
  log: StructuredLog
  onUpdate: (update: ConfigurationUpdate) => void
  /** True if this node watches the source; otherwise a reader tells it of changes, and it only polls. */
  isReader: () => boolean
  /** Resolves to true if the reader of this node has responded in time and follows the source. */
  checkReader: () => Promise<boolean>
  /** The position of the version in force, which may come from a peer. */
  getKnownPosition: () => StorePosition | undefined
  /** Called when the source stops responding, and when it responds again. */
  onSourceState: (isResponding: boolean) => void
  /** Called after each call, with whether this node has all changes that the source had acknowledged before. */
  onFollowing?: (isFollowing: boolean) => void
}

const BACKOFF = { baseMs: 100, maxMs: 1_000 }
/** Changes within this time are fetched together, so that a burst of changes does not cost each node one call per change. */
const BATCH_DELAY_MS = 500
/** The same for a change that comes within BURST_INTERVAL_MS after the previous ones were fetched. */
const BURST_BATCH_DELAY_MS = 1_000
const BURST_INTERVAL_MS = 1_000
/** A watch that ends without a change before this time was interrupted. */
const MIN_WATCH_MS = 1_000
const POLL_INTERVAL_MS = 2_000
/** This, the time for a reader to respond and a call take about half of the time in which a version has to be in force. */
const READER_CHECK_INTERVAL_MS = 800
/** After these faults a watch may have missed a change, so the source is read again. */
const READ_AGAIN_CODES: ReadonlySet<StoreFault['code']> = new Set(['too-old', 'restored', 'invalid'])
/** A copy that serves stale reads may be this far behind, so for this time after a restore it may still contain what the store lost. */
const MAX_STALENESS_MS = 10_000

type SourceStep = { updates: ConfigurationUpdate[], position: StorePosition, fault?: undefined } | { fault: StoreFault }

export async function followConfiguration (context: ConfigurationContext, signal: AbortSignal): Promise<void> {
  await new ConfigurationFollower(context).run(signal)
}

class ConfigurationFollower {
  private position: StorePosition | undefined
  private mustRead = true
  /** True if no call was waiting at the source until now, so the store may have been restored unnoticed. */
  private isAfterPause = false
  private restoredAt = -Infinity
  private failures = 0
  private hadUpdate = false
  private polledAt = -Infinity

  constructor (private readonly context: ConfigurationContext) {}

  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.context
    while (!signal.aborted) {
      const startedAt = clock.monotonic()
      const step = await this.fetchStep(signal)
      if (signal.aborted) return
      const pauseMs = step.fault === undefined ? this.acceptStep(step, clock.monotonic() - startedAt) : this.handleFault(step.fault)
      if (pauseMs > 0) await clock.sleep(pauseMs, signal)
    }
  }

  private async fetchStep (signal: AbortSignal): Promise<SourceStep> {
    const { source, getKnownPosition } = this.context
    const start = this.position === undefined || this.mustRead ? undefined : findWatchStart(this.position, getKnownPosition())
    if (start !== undefined) return await this.awaitChange(start, signal)
    const read = await source.read()
    return read.ok ? { updates: [read.val.update], position: read.val.position } : { fault: read.val }
  }

  /** A watch shows only at its end that the store was restored before it began, so after a pause a call that returns at once comes first. */
  private async awaitChange (from: StorePosition, signal: AbortSignal): Promise<SourceStep> {
    const { source, isReader } = this.context
    if (!isReader()) return await this.awaitReader(from, signal)
    const changed = this.isAfterPause ? await source.poll(from, 'current', signal) : await source.watch(from, signal)
    return changed.ok ? changed.val : { fault: changed.val }
  }

  /** While its reader responds, a node asks the source rarely, and accepts a response that is behind. Otherwise it asks at once. */
  private async awaitReader (from: StorePosition, signal: AbortSignal): Promise<SourceStep> {
    const { source, clock, random, checkReader } = this.context
    await clock.sleep(READER_CHECK_INTERVAL_MS * (0.75 + 0.5 * random.next()), signal)
    const hasReader = await checkReader()
    const now = clock.monotonic()
    if (hasReader && now - this.polledAt < POLL_INTERVAL_MS) return { updates: [], position: from }
    this.polledAt = now
    const changed = await source.poll(from, hasReader ? this.freshness : 'current', signal)
    return changed.ok ? changed.val : { fault: changed.val }
  }

  private get freshness (): Freshness {
    return this.context.clock.monotonic() - this.restoredAt < MAX_STALENESS_MS ? 'current' : 'stale'
  }

  /** Returns the time until the next call. */
  private handleFault ({ code, message }: StoreFault): number {
    const { log, random, onSourceState, onFollowing } = this.context
    this.failures += 1
    onFollowing?.(false)
    this.isAfterPause = true
    this.mustRead ||= READ_AGAIN_CODES.has(code)
    if (this.failures === 1) {
      log.log('change', 'store_lost', { code, reason: message })
      onSourceState(false)
    }
    return computeBackoff(this.failures, BACKOFF, random)
  }

  /** Returns the time until the next call. */
  private acceptStep ({ updates, position }: Extract<SourceStep, { fault?: undefined }>, waitedMs: number): number {
    this.endFailures()
    updates.forEach(this.context.onUpdate)
    this.context.onFollowing?.(this.context.isReader())
    this.advancePosition(position)
    const isBurst = this.hadUpdate && waitedMs < BURST_INTERVAL_MS
    this.hadUpdate = updates.length > 0
    this.isAfterPause = this.hadUpdate
    if (this.hadUpdate) return isBurst ? BURST_BATCH_DELAY_MS : BATCH_DELAY_MS
    return waitedMs < MIN_WATCH_MS ? computeBackoff(1, BACKOFF, this.context.random) : 0
  }

  private endFailures (): void {
    const { log, onSourceState } = this.context
    if (this.failures === 0) return
    log.log('change', 'store_back', { failures: this.failures })
    onSourceState(true)
    this.failures = 0
  }

  private advancePosition (position: StorePosition): void {
    const { clock, log } = this.context
    const previous = this.position
    this.position = position
    this.mustRead = false
    // The store may have been restored shortly before the first read.
    if (previous === undefined || position.epoch > previous.epoch) this.restoredAt = clock.monotonic()
    if (previous === undefined || position.epoch <= previous.epoch) return
    log.log('change', 'store_restored', { ...position, previousEpoch: previous.epoch, previousRevision: previous.revision })
  }
}

/** Returns undefined if the version in force is of a later epoch: a peer knows of a restore after which this node has not read the store. */
function findWatchStart (position: StorePosition, inForce: StorePosition = position): StorePosition | undefined {
  if (inForce.epoch > position.epoch) return undefined
  return comparePositions(inForce, position) > 0 ? inForce : position
}
