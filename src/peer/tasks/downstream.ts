/**
 * The task of one subscriber: admits it, brings it up to date, then sends each change until the stream ends.
 */
import { merge, periodic } from 'most'
import { Channel, drainStream } from '../../core/index.js'
import { makeVector } from '../../snapshot/index.js'
import type { Vector } from '../../snapshot/index.js'
import type { AdmissionLimits, SubscriberRegistry } from '../commands/admit.js'
import { receiveRecords } from '../commands/receive.js'
import type { Attachments } from '../attachments.js'
import type { Beat, Down, Hello, Up } from '../messages.js'
import { PendingHosts } from '../pending.js'
import { listFirstMembers, listNewer } from '../queries/members.js'
import { listUpdates } from '../queries/pending.js'
import type { Change, Replica } from '../replica.js'
import type { DownstreamCall } from '../services.js'
import { awaitReturn } from './absence.js'
import type { AbsenceContext } from './absence.js'

export const BEAT_INTERVAL_MS = 500

export interface Publisher extends AbsenceContext {
  registry: SubscriberRegistry
  limits: AdmissionLimits
  attachments: Attachments
}

type Item = { kind: 'message', message: Up } | { kind: 'change', change: Change } | { kind: 'beat' } | { kind: 'members' }

/** What the task of one subscriber keeps: the versions it was sent, and the hosts whose records it is still to be sent. */
interface Stream { call: DownstreamCall, hello: Hello, held: Vector, pending: PendingHosts }

export async function serveSubscriber (publisher: Publisher, call: DownstreamCall): Promise<void> {
  const { receiver: { replica, clock }, registry, attachments, log } = publisher
  const ended = new AbortController()
  const inbox = openInbox(call, ended)
  const hello = await readHello(inbox)
  const refusal = hello === undefined ? undefined : registry.admit(replica, hello)
  if (hello === undefined || refusal !== undefined) {
    if (refusal !== undefined) call.write(refusal)
    call.end()
    return
  }
  log.debug(`${hello.node} subscribed`)
  attachments.begin(hello.node)
  try {
    subscribeChanges(replica, inbox, ended.signal)
    const pending = new PendingHosts(clock, ended.signal, () => { inbox.push({ kind: 'members' }) })
    const stream = { call, hello, held: sendState(replica, call, hello), pending }
    for await (const item of inbox) handleItem(publisher, stream, item)
  } finally {
    ended.abort()
    registry.release(hello.node)
    attachments.end(hello.node)
    dropSubscriber(replica, hello.node)
    call.end()
    log.debug(`${hello.node} unsubscribed`)
    void awaitReturn(publisher, hello.node)
  }
}

function openInbox (call: DownstreamCall, ended: AbortController): Channel<Item> {
  const inbox = new Channel<Item>()
  call.on('data', (message: Up) => { inbox.push({ kind: 'message', message }) })
  for (const event of ['end', 'error', 'cancelled', 'close']) {
    call.on(event, () => {
      ended.abort()
      inbox.close()
    })
  }
  return inbox
}

async function readHello (inbox: Channel<Item>): Promise<Hello | undefined> {
  const first = await inbox[Symbol.asyncIterator]().next()
  if (first.done === true || first.value.kind !== 'message') return undefined
  return first.value.message.type === 'hello' ? first.value.message : undefined
}

function subscribeChanges (replica: Replica, inbox: Channel<Item>, signal: AbortSignal): void {
  const changes = replica.changes.stream.map(change => ({ kind: 'change', change }) as const)
  const beats = periodic(BEAT_INTERVAL_MS).constant({ kind: 'beat' } as const)
  drainStream<Item>(merge<Item>(changes, beats), inbox, signal)
}

function sendState (replica: Replica, call: DownstreamCall, hello: Hello): Vector {
  const { path, pathPeers } = replica.place
  call.write({ type: 'accept', node: replica.identity.host, path: [...path], pathPeers: [...pathPeers] })
  for (const update of listUpdates(replica, replica.table.staged.keys(), hello.vector)) call.write(update)
  for (const message of listFirstMembers(replica, hello.members)) call.write(message)
  call.write({ type: 'synced' })
  return { ...hello.vector, ...makeVector(replica.table.staged) }
}

function handleItem (publisher: Publisher, stream: Stream, item: Item): void {
  const { replica } = publisher.receiver
  switch (item.kind) {
    case 'message':
      handleMessage(publisher, stream, item.message)
      return
    case 'beat':
      stream.call.write(makeBeat(replica, publisher.registry))
      return
    case 'change':
      if (item.change.source !== stream.hello.node) sendChange(replica, stream, item.change)
      return
    case 'members':
      stream.call.write({ type: 'members', records: replica.listRecords(stream.pending.takeAll()) })
  }
}

function sendChange (replica: Replica, { call, held, pending }: Stream, change: Change): void {
  for (const update of listUpdates(replica, change.services, held)) {
    call.write(update)
    held[update.service] = update.version
  }
  pending.push(change.hosts)
}

function makeBeat (replica: Replica, registry: SubscriberRegistry): Beat {
  const { tick, sourceUp, path, pathPeers, renewals } = replica.place
  return {
    type: 'beat',
    tick,
    sourceUp,
    path: [...path],
    pathPeers: [...pathPeers],
    renewals,
    candidates: registry.listCandidates(),
    stamp: { wall: Date.now(), counter: 0 }
  }
}

function handleMessage ({ receiver }: Publisher, { call, hello }: Stream, message: Up): void {
  const { replica } = receiver
  switch (message.type) {
    case 'members':
      receiveRecords(receiver, message.records, hello.node)
      if (message.complete !== undefined) for (const newer of listNewer(replica, message)) call.write(newer)
      return
    case 'ack':
      replica.acks.record(hello.node, message)
      replica.changes.emit({ services: Object.keys(message.counts), hosts: [], source: hello.node })
      return
    case 'resend':
      for (const update of listUpdates(replica, [message.service], {})) call.write(update satisfies Down)
  }
}

function dropSubscriber (replica: Replica, node: string): void {
  const services = replica.acks.remove(node)
  if (services.length > 0) replica.changes.emit({ services, hosts: [], source: node })
}
