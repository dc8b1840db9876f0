/**
 * The task of one subscriber: admits it, brings it up to date, then sends each change until the stream ends.
 */
import { Channel, drainStream, pushEvery } from '../../core/index.js'
import { makeVector } from '../../snapshot/index.js'
import type { Vector } from '../../snapshot/index.js'
import type { Session, SubscriberRegistry } from '../commands/admit.js'
import { receiveRecords } from '../commands/receive.js'
import type { Beat, Hello, Up } from '../messages.js'
import { PendingHosts } from '../pending.js'
import { listFirstMembers, listNewer } from '../queries/members.js'
import { listUpdates } from '../queries/pending.js'
import type { Change, Replica } from '../replica.js'
import type { DownstreamCall } from '../services.js'
import { receiveSuspects, sendSuspects } from '../suspects.js'
import { awaitReturn } from './absence.js'
import type { AbsenceContext } from './absence.js'

export const BEAT_INTERVAL_MS = 500
/** Beats after which the position is sent again although it did not change. */
const POSITION_BEATS = 20

export interface Publisher extends AbsenceContext {
  registry: SubscriberRegistry
}

type Item = { kind: 'message', message: Up } | { kind: 'change', change: Change } | { kind: 'beat' } | { kind: 'members' }

export async function serveSubscriber (publisher: Publisher, call: DownstreamCall): Promise<void> {
  const { receiver, registry } = publisher
  const ended = new AbortController()
  const inbox = openInbox(call, ended)
  const hello = await readHello(inbox)
  const session = hello === undefined ? undefined : { hello, end: () => { endSession(receiver.replica, hello.node, ended, inbox) } }
  const refusal = session === undefined ? undefined : registry.admit(receiver.replica, session)
  if (refusal !== undefined) call.write(refusal)
  if (session !== undefined && refusal === undefined) await new SubscriberTask(publisher, call, session).run(inbox, ended)
  call.end()
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

/** The node has a newer session; what the old one reported must not count beside it. */
function endSession (replica: Replica, node: string, ended: AbortController, inbox: Channel<Item>): void {
  dropCounts(replica, node)
  ended.abort()
  inbox.close()
}

function dropCounts (replica: Replica, node: string): void {
  const services = replica.acks.remove(node)
  if (services.length > 0) replica.changes.emit({ services, hosts: [], source: node })
}

class SubscriberTask {
  private readonly replica: Replica
  private readonly node: string
  private held: Vector
  private sentPosition = ''
  private beats = 0

  constructor (private readonly publisher: Publisher, private readonly call: DownstreamCall, private readonly session: Session) {
    this.replica = publisher.receiver.replica
    this.node = session.hello.node
    this.held = session.hello.vector
  }

  async run (inbox: Channel<Item>, ended: AbortController): Promise<void> {
    const { publisher, publisher: { receiver: { clock }, registry, log } } = this
    const pending = new PendingHosts(clock, ended.signal, () => { inbox.push({ kind: 'members' }) })
    log.debug(`${this.node} subscribed`)
    try {
      drainStream<Item>(this.replica.changes.stream.map(change => ({ kind: 'change', change }) as const), inbox, ended.signal)
      void pushEvery<Item>(clock, BEAT_INTERVAL_MS, inbox, { kind: 'beat' }, ended.signal)
      this.sendState()
      if (this.session.hello.zone === this.replica.identity.zone) void sendSuspects(this.replica.suspects, this.call, this.node, ended.signal)
      for await (const item of inbox) {
        if (registry.isCurrent(this.session)) this.handleItem(item, pending)
      }
    } finally {
      ended.abort()
      if (registry.release(this.session)) dropCounts(this.replica, this.node)
      log.debug(`${this.node} unsubscribed`)
      void awaitReturn(publisher, this.node)
    }
  }

  private sendState (): void {
    const { identity, place, table } = this.replica
    this.call.write({
      type: 'accept',
      node: identity.host,
      region: identity.region,
      sourceUp: place.sourceUp,
      path: [...place.path],
      pathPeers: [...place.pathPeers],
      candidates: this.listCandidates()
    })
    for (const update of listUpdates(this.replica, table.staged.keys(), this.held)) this.call.write(update)
    for (const message of listFirstMembers(this.replica, this.session.hello.members)) this.call.write(message)
    this.call.write({ type: 'synced' })
    this.held = { ...this.held, ...makeVector(table.staged) }
  }

  private handleItem (item: Item, pending: PendingHosts): void {
    switch (item.kind) {
      case 'message':
        this.handleMessage(item.message)
        return
      case 'beat':
        this.call.write(this.makeBeat())
        return
      case 'change':
        if (item.change.source !== this.node) this.sendChange(item.change, pending)
        return
      case 'members':
        this.call.write({ type: 'members', records: this.replica.listRecords(pending.takeAll()) })
    }
  }

  private sendChange (change: Change, pending: PendingHosts): void {
    for (const update of listUpdates(this.replica, change.services, this.held)) {
      this.call.write(update)
      this.held[update.service] = update.version
    }
    pending.push(change.hosts)
  }

  private makeBeat (): Beat {
    const { tick, sourceUp, path, pathPeers } = this.replica.place
    const candidates = this.listCandidates()
    const position = JSON.stringify([path, candidates])
    const isDue = position !== this.sentPosition || this.beats % POSITION_BEATS === 0
    this.beats += 1
    this.sentPosition = position
    if (!isDue) return { type: 'beat', tick, sourceUp }
    const stamp = this.replica.time.advance()
    return { type: 'beat', tick, sourceUp, position: { path: [...path], pathPeers: [...pathPeers], candidates, stamp } }
  }

  private listCandidates (): string[] {
    return this.publisher.registry.listCandidates(this.session.hello.zone)
  }

  private handleMessage (message: Up): void {
    switch (message.type) {
      case 'members':
        receiveRecords(this.publisher.receiver, message.records, this.node)
        if (message.complete !== undefined) for (const newer of listNewer(this.replica, message)) this.call.write(newer)
        return
      case 'ack':
        this.replica.acks.record(this.node, message)
        this.replica.changes.emit({ services: Object.keys(message.counts), hosts: [], source: this.node })
        return
      case 'suspects':
        receiveSuspects(this.replica.suspects, message, this.node)
        return
      case 'resend':
        for (const update of listUpdates(this.replica, [message.service], {})) this.call.write(update)
    }
  }
}
