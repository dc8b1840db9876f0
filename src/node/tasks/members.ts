/**
 * The tasks that keep the host records of one node in order.
 */
import { Channel, drainStream } from '../../core/index.js'
import type { Clock, Logger } from '../../core/index.js'
import { formatRelayDuty } from '../../duty/index.js'
import { forgetRemoved, makeGone, answerRecord } from '../../membership/index.js'
import type { HostRecord } from '../../membership/index.js'
import { receiveRecords } from '../../peer/index.js'
import type { Receiver } from '../../peer/index.js'
import type { Recorder } from '../../timeline/index.js'

/** Two nodes with the same host name outrank each other for ever; this bounds what that costs the fleet. */
const ANSWER_INTERVAL_MS = 1_000
const PRUNE_INTERVAL_MS = 10_000
/** A record that changes between two answers is seen again; more than a few need not be kept. */
const CHALLENGES_KEPT = 16

export interface MembersContext { receiver: Receiver, clock: Clock, recorder: Recorder, log: Logger }

/** Outranks records of the own host that another node made: overlays, and those of an earlier process with a faster clock. */
export async function answerChallenges ({ receiver, clock, recorder, log }: MembersContext, signal: AbortSignal): Promise<void> {
  const { replica } = receiver
  const challenges = new Channel<HostRecord>(CHALLENGES_KEPT)
  drainStream(replica.challenges.stream, challenges, signal)
  signal.addEventListener('abort', () => { challenges.close() }, { once: true })
  for await (const seen of challenges) {
    const record = answerRecord(replica.own, seen)
    if (record === undefined) continue
    const reason = seen.lost ? 'this host was marked lost' : `another process announced this host with peer address ${seen.peer}`
    log.warn(`${reason}; announced again`)
    recorder.record('target-joined', reason, { host: replica.identity.host })
    receiveRecords(receiver, [record])
    await clock.sleep(ANSWER_INTERVAL_MS, signal)
  }
}

/** Removes hosts of the own zone that were lost for long, where this node is the zone's relay and has an upstream. */
export async function pruneMembers ({ receiver, clock, recorder, log }: MembersContext, signal: AbortSignal): Promise<void> {
  const { replica } = receiver
  const { zone, host } = replica.identity
  while (!signal.aborted) {
    await clock.sleep(PRUNE_INTERVAL_MS, signal)
    const now = clock.monotonic()
    forgetRemoved(replica.members, now)
    const hasUpstream = replica.place.upstream !== ''
    if (!hasUpstream || !replica.duties.has(formatRelayDuty(zone))) continue
    const gone = makeGone(replica.members, zone, now).filter(record => record.host !== host)
    for (const record of gone) {
      log.info(`removed ${record.host}, lost for long`)
      recorder.record('target-gone', 'lost for long', { host: record.host })
    }
    receiveRecords(receiver, gone)
  }
}
