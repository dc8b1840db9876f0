/**
 * The task of one host that went away, a subscriber, an upstream or the earlier holder of a duty:
 * waits for it to come back, and marks it lost when it does not. A host that only moved to another parent gets the mark with its next
 * `members` message and answers with a newer record, which clears the mark everywhere.
 */
import type { Logger } from '../../core/index.js'
import { LOST_AFTER_MS, makeLost } from '../../membership/index.js'
import { receiveRecords } from '../commands/receive.js'
import type { Receiver } from '../commands/receive.js'

export interface AbsenceContext {
  receiver: Receiver
  /** True when the host is subscribed here, or this node below it. */
  isBack: (host: string) => boolean
  log: Logger
  /** Aborted when this node stops: it then marks nothing. */
  signal: AbortSignal
}

export async function awaitReturn ({ receiver, isBack, log, signal }: AbsenceContext, host: string): Promise<void> {
  const { replica: { members, identity }, clock } = receiver
  if (host === identity.host) return
  const seen = members.get(host)
  await clock.sleep(LOST_AFTER_MS, signal)
  if (signal.aborted || isBack(host)) return
  const lost = makeLost(members, identity.zone, host, seen)
  if (lost === undefined) return
  log.warn(`${host} did not come back and counts as lost`)
  receiveRecords(receiver, [lost])
}
