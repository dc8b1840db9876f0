/**
 * The tasks of a node, each with its name. They run until the signal aborts.
 */
import type { ConfigurationSource, ConfigurationUpdate } from '../../configuration/index.js'
import type { Clock, Random, StructuredLog } from '../../core/index.js'
import type { Announcement } from '../../membership/index.js'
import type { RepeatCounts, RepeatMeter } from '../../request/index.js'
import type { NodeState } from '../state.js'
import { followConfiguration } from './configuration.js'
import { expireCrashMarks, sendCrashMarks } from './crashmarks.js'
import type { HostDirectory } from './directory.js'
import { expireTargetsPeriodically } from './expire.js'
import type { PeerSynchronizer } from './peers.js'
import { reportRepeats } from './repeats.js'
import type { SupervisedTask } from './supervised.js'

export interface TaskContext {
  source: ConfigurationSource
  clock: Clock
  random: Random
  state: NodeState
  peers: PeerSynchronizer
  directory: HostDirectory
  log: StructuredLog
  repeats: RepeatMeter
  onRepeatsCounted: (counts: ReadonlyMap<string, RepeatCounts>) => void
  getHeartbeatTimeoutMs: () => number
  onUpdate: (update: ConfigurationUpdate) => void
  onSourceState: (isResponding: boolean) => void
  onExpired: (expired: readonly Announcement[]) => void
  announceMarks: () => void
}

export function listTasks (context: TaskContext, signal: AbortSignal): SupervisedTask[] {
  const { source, clock, random, state, peers, directory, log, getHeartbeatTimeoutMs, onUpdate, onSourceState, onExpired, announceMarks } = context
  const configuration = {
    source,
    clock,
    random,
    log,
    onUpdate,
    onSourceState,
    isReader: () => peers.isReader,
    checkReader: async () => await peers.checkReader(),
    getKnownPosition: () => state.configuration?.position,
    onFollowing: (isFollowing: boolean) => { state.followsSource = isFollowing }
  }
  const repeats = { repeats: context.repeats, clock, onCounted: context.onRepeatsCounted }
  const expiry = { localHost: state.localHost, clock, getHeartbeatTimeoutMs, onExpired }
  return [
    { name: 'configuration', run: async () => { await followConfiguration(configuration, signal) } },
    { name: 'directory', run: async () => { await directory.run(signal) } },
    { name: 'expiry', run: async () => { await expireTargetsPeriodically(expiry, signal) } },
    { name: 'exchange', run: async () => { await peers.exchangePeriodically(signal) } },
    { name: 'crash marks', run: async () => { await sendCrashMarks({ state, peers, clock, announceMarks }, signal) } },
    { name: 'crash mark expiry', run: async () => { await expireCrashMarks({ clock, announceMarks }, signal) } },
    { name: 'repeats', run: async () => { await reportRepeats(repeats, signal) } },
    { name: 'removal', run: async () => { await peers.removeUnreachable(host => { void directory.remove(host) }, signal) } }
  ]
}
