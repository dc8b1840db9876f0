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
  /** True if this node watches the source; otherwise peers tell it of changes, and it only polls. */
  isReader: () => boolean
  /** The position of the version in force, which may come from a peer. */
  getKnownPosition: () => StorePosition | undefined
  /** Called when the source stops responding, and when it responds again. */
  onSourceState: (isResponding: boolean) => void
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
/** After these faults a watch may have missed a change, so the source is read again. */
const READ_AGAIN_CODES: ReadonlySet<StoreFault['code']> = new Set(['too-old', 'restored', 'invalid'])
/** A copy that serves stale reads may be this far behind, so for this time after a restore it may still contain what the store lost. */
const MAX_STALENESS_MS = 10_000

export async function followConfiguration (context: ConfigurationContext, signal: AbortSignal): Promise<void> {
  const { source, clock, random, log } = context
  let failures = 0
  let position: StorePosition | undefined
  let mustRead = true
  let restoredAt = -Infinity
  let hadUpdate = false
  let isAfterPause = false
  while (!signal.aborted) {
    const startedAt = clock.monotonic()
    const start = position === undefined || mustRead ? undefined : findWatchStart(position, context.getKnownPosition())
    const freshness = startedAt - restoredAt < MAX_STALENESS_MS ? 'current' : 'stale'
    const step: SourceStep = start === undefined
      ? await readOnce(source)
      : await awaitChange(context, { from: start, freshness, isAfterPause }, signal)
    if (signal.aborted) return
    if (step.fault !== undefined) {
      failures += 1
      isAfterPause = true
      if (failures === 1) {
        log.log('change', 'store_lost', { code: step.fault.code, reason: step.fault.message })
        context.onSourceState(false)
      }
      mustRead ||= READ_AGAIN_CODES.has(step.fault.code)
      await clock.sleep(computeBackoff(failures, BACKOFF, random), signal)
      continue
    }
    if (failures > 0) {
      log.log('change', 'store_back', { failures })
      context.onSourceState(true)
    }
    failures = 0
    step.updates.forEach(context.onUpdate)
    if (position !== undefined && step.position.epoch > position.epoch) {
      restoredAt = clock.monotonic()
      logRestore(log, position, step.position)
    }
    position = step.position
    mustRead = false
    const waitedMs = clock.monotonic() - startedAt
    const isBurst = hadUpdate && waitedMs < BURST_INTERVAL_MS
    hadUpdate = step.updates.length > 0
    isAfterPause = hadUpdate
    if (hadUpdate) await clock.sleep(isBurst ? BURST_BATCH_DELAY_MS : BATCH_DELAY_MS, signal)
    else if (waitedMs < MIN_WATCH_MS) await clock.sleep(computeBackoff(1, BACKOFF, random), signal)
  }
}

type SourceStep = { updates: ConfigurationUpdate[], position: StorePosition, fault?: undefined } | { fault: StoreFault }

/** Returns undefined if the version in force is of a later epoch: a peer knows of a restore after which this node has not read the store. */
function findWatchStart (position: StorePosition, inForce: StorePosition = position): StorePosition | undefined {
  if (inForce.epoch > position.epoch) return undefined
  return comparePositions(inForce, position) > 0 ? inForce : position
}

function logRestore (log: StructuredLog, previous: StorePosition, { epoch, revision }: StorePosition): void {
  log.log('change', 'store_restored', { epoch, revision, previousEpoch: previous.epoch, previousRevision: previous.revision })
}

async function readOnce (source: ConfigurationSource): Promise<SourceStep> {
  const read = await source.read()
  return read.ok ? { updates: [read.val.update], position: read.val.position } : { fault: read.val }
}

/** `isAfterPause`: no call was waiting at the store, so it may have been restored unnoticed. */
interface ChangeQuery { from: StorePosition, freshness: Freshness, isAfterPause: boolean }

/** A watch shows only at its end that the store was restored before it began, so a call that returns at once comes first. */
async function awaitChange (
  { source, clock, random, isReader }: ConfigurationContext, { from, freshness, isAfterPause }: ChangeQuery, signal: AbortSignal
): Promise<SourceStep> {
  const isWatching = isReader()
  if (!isWatching) await clock.sleep(POLL_INTERVAL_MS * (0.5 + random.next()), signal)
  const changed = isWatching && !isAfterPause
    ? await source.watch(from, signal)
    : await source.poll(from, isWatching ? 'current' : freshness, signal)
  return changed.ok ? changed.val : { fault: changed.val }
}
