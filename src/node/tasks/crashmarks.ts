/**
 * The task that tells peers of changes of crash marks. Changes that follow each other are sent together.
 */
import { Channel } from '../../core/index.js'
import type { Clock } from '../../core/index.js'
import { CrashMarkAnnouncer } from '../../suspect/index.js'
import type { SuspectMessages } from '../../suspect/index.js'
import type { NodeState } from '../state.js'
import { EMPTY_PAYLOAD } from './peers.js'
import type { PeerSynchronizer } from './peers.js'

export interface CrashMarkContext { state: NodeState, peers: PeerSynchronizer, clock: Clock }

/** Most requests whose target ended complete elsewhere within this time. */
const COLLECT_MS = 300

export async function sendCrashMarks (context: CrashMarkContext, signal: AbortSignal): Promise<void> {
  const { state, clock } = context
  const announcer = new CrashMarkAnnouncer(state.identity.host)
  const wakeUps = new Channel<'changed'>(1)
  const subscription = state.suspects.changes.stream.subscribe({
    next: change => {
      announcer.collect(change)
      if (!announcer.isIdle) wakeUps.push('changed')
    },
    error: () => { wakeUps.close() },
    complete: () => {}
  })
  signal.addEventListener('abort', () => { wakeUps.close() }, { once: true })
  try {
    while (await wakeUps.receive() !== undefined) {
      await clock.sleep(COLLECT_MS, signal)
      if (!announcer.isIdle) await sendMessages(context, announcer.consume())
    }
  } finally {
    subscription.unsubscribe()
  }
}

async function sendMessages ({ state, peers }: CrashMarkContext, { marks, cleared, clearedByHost }: SuspectMessages): Promise<void> {
  const toAll = marks.length + cleared.length === 0 ? undefined : peers.notifyPeers({ marks, cleared }, 'many')
  const toHosts = [...clearedByHost].map(async ([host, fingerprints]) => {
    const peer = state.members.get(host)
    if (peer !== undefined) await peers.exchange(peer, { ...EMPTY_PAYLOAD, cleared: fingerprints })
  })
  await Promise.all([toAll, ...toHosts])
}
