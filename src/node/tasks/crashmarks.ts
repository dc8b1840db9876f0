/**
 * The task that passes changes of crash marks on: those of the targets of this host by the record of the host, and cleared marks of other
 * hosts by messages to these hosts. Changes that follow each other go out together.
 */
import { Channel } from '../../core/index.js'
import type { Clock } from '../../core/index.js'
import { ClearedMarkCollector } from '../../suspect/index.js'
import type { NodeState } from '../state.js'
import { EMPTY_PAYLOAD } from './peers.js'
import type { PeerSynchronizer } from './peers.js'

export interface CrashMarkContext {
  state: NodeState
  peers: PeerSynchronizer
  clock: Clock
  /** Announces a new record of the local host if the marks of its targets have changed. */
  announceMarks: () => void
}

/** Most requests whose target ended complete elsewhere within this time. */
const COLLECT_MS = 300
/** Marks expire without a change of the table. */
const EXPIRY_INTERVAL_MS = 60_000

export async function sendCrashMarks (context: CrashMarkContext, signal: AbortSignal): Promise<void> {
  const { state, clock, announceMarks } = context
  const collector = new ClearedMarkCollector(state.identity.host)
  const wakeUps = new Channel<'changed'>(1)
  const subscription = state.suspects.changes.stream.subscribe({
    next: change => {
      collector.collect(change)
      wakeUps.push('changed')
    },
    error: () => { wakeUps.close() },
    complete: () => {}
  })
  signal.addEventListener('abort', () => { wakeUps.close() }, { once: true })
  try {
    while (await wakeUps.receive() !== undefined) {
      await clock.sleep(COLLECT_MS, signal)
      announceMarks()
      if (!collector.isIdle) await sendCleared(context, collector.consume())
    }
  } finally {
    subscription.unsubscribe()
  }
}

/** Removes expired marks from the record of the local host. */
export async function expireCrashMarks ({ clock, announceMarks }: Pick<CrashMarkContext, 'clock' | 'announceMarks'>, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(EXPIRY_INTERVAL_MS, signal)
    announceMarks()
  }
}

async function sendCleared ({ state, peers }: CrashMarkContext, clearedByHost: ReadonlyMap<string, readonly string[]>): Promise<void> {
  await Promise.all([...clearedByHost].map(async ([host, fingerprints]) => {
    const peer = state.members.get(host)
    if (peer !== undefined) await peers.exchange(peer, { ...EMPTY_PAYLOAD, cleared: [...fingerprints] })
  }))
}
