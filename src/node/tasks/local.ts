/**
 * The local port: announcements of this host's targets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { json } from 'node:stream/consumers'
import type { Clock, Logger } from '../../core/index.js'
import { announcementSchema, announceTarget, computeExpiryWait, expireTargets } from '../../membership/index.js'
import { receiveRecords } from '../../peer/index.js'
import type { Receiver } from '../../peer/index.js'
import type { CrashWatch } from '../../request/index.js'
import type { Recorder } from '../../timeline/index.js'
import { writeJson } from '../http.js'

export interface LocalContext { receiver: Receiver, clock: Clock, recorder: Recorder, log: Logger, crashes: CrashWatch }

export async function serveLocal ({ receiver, clock, recorder }: LocalContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  if (message.method !== 'POST' || message.url !== '/announce') {
    writeJson(response, 404, { message: 'POST /announce is all there is' })
    return
  }
  const announcement = announcementSchema.safeParse(await json(message).catch(() => undefined))
  if (!announcement.success) {
    writeJson(response, 400, { message: 'bad announcement', issues: announcement.error.issues })
    return
  }
  const { own } = receiver.replica
  const isNew = own.find(announcement.data.target) === undefined
  const record = announceTarget(own, announcement.data, clock.monotonic())
  if (record !== undefined) {
    receiveRecords(receiver, [record])
    const kind = announcement.data.state === 'leaving' ? 'target-leaving' : 'target-joined'
    if (isNew || kind === 'target-leaving') recorder.record(kind, announcement.data.target, { service: announcement.data.service, host: own.host })
  }
  writeJson(response, 200, { leaving: own.isLeaving })
}

/** Sleeping so much longer than asked means that this process was paused, and its targets' announcements wait unread. */
const PAUSE_MS = 1_000

/** Drops targets of this host whose heartbeats stopped. */
export async function expireSilent ({ receiver, clock, recorder, log, crashes }: LocalContext, signal: AbortSignal): Promise<void> {
  const { own } = receiver.replica
  while (!signal.aborted) {
    const wakesAt = clock.monotonic() + computeExpiryWait(own, clock.monotonic())
    await clock.sleep(wakesAt - clock.monotonic(), signal)
    if (clock.monotonic() - wakesAt > PAUSE_MS) await clock.sleep(PAUSE_MS, signal)
    const silent = expireTargets(own, clock.monotonic())
    if (silent.length === 0) continue
    receiveRecords(receiver, [own.makeRecord()])
    for (const { target, state, service } of silent) {
      crashes.markCrashed(target)
      log.warn(`target ${target} stopped announcing itself`)
      recorder.record(state === 'leaving' ? 'target-gone' : 'target-lost', target, { service, host: own.host })
    }
  }
}
