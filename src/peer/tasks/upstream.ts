/**
 * The task of one upstream peer: resumes from what the node holds, takes each change, and
 * reports its subtree's records and acknowledgements upward, until the stream ends or falls silent.
 */
import { Channel, drainStream, pushEvery } from '../../core/index.js'
import type { Logger } from '../../core/index.js'
import { makeVector } from '../../snapshot/index.js'
import { receiveEntries, receiveRecords } from '../commands/receive.js'
import type { Receiver } from '../commands/receive.js'
import type { Accept, Beat, Down, Position, Update } from '../messages.js'
import { PendingHosts } from '../pending.js'
import { readUpdate } from '../queries/difference.js'
import { makeComplete, makeDigests } from '../queries/members.js'
import type { Change } from '../replica.js'
import type { UpstreamCall } from '../services.js'
import { SilenceWatch } from '../silence.js'
import { receiveSuspects, sendSuspects } from '../suspects.js'
import { Upstream } from '../upstream.js'
import type { UpstreamEnd } from '../upstream.js'

const CHECK_INTERVAL_MS = 250
const ACK_DELAY_MS = 50
/** Between regions acknowledgements wait longer, so that those of a whole region travel in one message. */
const REGION_ACK_DELAY_MS = 500

type Item = { kind: 'message', message: Down } | { kind: 'change', change: Change } | { kind: 'check' } | { kind: 'ack' } | { kind: 'members' }

/** `pending` has the hosts whose records the publisher is still to be sent. */
interface Stream { call: UpstreamCall, pending: PendingHosts }

export type OpenCall = (address: string) => UpstreamCall

export interface PeerUpstreamOptions {
  receiver: Receiver
  open: OpenCall
  address: string
  log: Logger
  /** Refuse a publisher whose own root does not reach the platform. */
  needsSource?: boolean
}

export class PeerUpstream extends Upstream {
  private readonly receiver: Receiver
  private readonly address: string
  private readonly silence: SilenceWatch
  private readonly inbox = new Channel<Item>()
  private readonly ended = new AbortController()
  private readonly unacked = new Set<string>()
  private publisher = ''
  private ackDelayMs = ACK_DELAY_MS

  constructor (private readonly options: PeerUpstreamOptions) {
    super()
    this.receiver = options.receiver
    this.address = options.address
    this.silence = new SilenceWatch(options.receiver.clock)
  }

  override get name (): string {
    return this.address
  }

  override async run (signal: AbortSignal): Promise<UpstreamEnd> {
    if (signal.aborted) return { reason: 'moved', detail: this.address }
    const call = this.options.open(this.address)
    this.openInbox(call, AbortSignal.any([signal, this.ended.signal]))
    const pending = new PendingHosts(this.receiver.clock, this.ended.signal, () => { this.inbox.push({ kind: 'members' }) })
    try {
      this.sendHello(call)
      for await (const item of this.inbox) {
        const end = this.handleItem({ call, pending }, item)
        if (end !== undefined) return end
      }
      return { reason: signal.aborted ? 'moved' : 'closed', detail: `${this.address} closed the stream` }
    } finally {
      this.ended.abort()
      call.cancel()
    }
  }

  private openInbox (call: UpstreamCall, signal: AbortSignal): void {
    const { inbox } = this
    const { clock, replica } = this.receiver
    call.on('data', (message: Down) => { inbox.push({ kind: 'message', message }) })
    for (const event of ['end', 'error', 'close']) call.on(event, () => { inbox.close() })
    signal.addEventListener('abort', () => { inbox.close() }, { once: true })
    drainStream<Item>(replica.changes.stream.map(change => ({ kind: 'change', change }) as const), inbox, signal)
    void pushEvery<Item>(clock, CHECK_INTERVAL_MS, inbox, { kind: 'check' }, signal)
  }

  private sendHello (call: UpstreamCall): void {
    const { replica, replica: { identity, duties, table } } = this.receiver
    call.write({
      type: 'hello',
      node: identity.host,
      zone: identity.zone,
      region: identity.region,
      peer: identity.peer,
      duties: [...duties],
      vector: makeVector(table.staged),
      members: makeDigests(replica)
    })
  }

  private handleItem ({ call, pending }: Stream, item: Item): UpstreamEnd | undefined {
    switch (item.kind) {
      case 'message':
        this.silence.noteMessage()
        return this.handleMessage(call, item.message)
      case 'change':
        this.forwardChange(pending, item.change)
        return undefined
      case 'members':
        call.write({ type: 'members', records: this.receiver.replica.listRecords(pending.takeAll()) })
        return undefined
      case 'ack':
        this.sendAck(call)
        return undefined
      case 'check':
        return this.silence.check(this.address, this.attached)
    }
  }

  private handleMessage (call: UpstreamCall, message: Down): UpstreamEnd | undefined {
    switch (message.type) {
      case 'redirect':
        return { reason: 'redirect', peers: message.peers }
      case 'retry':
        return { reason: 'retry', afterMs: message.afterMs, duties: message.duties }
      case 'accept':
        return this.takeAccept(message)
      case 'beat':
        return this.takeBeat(message)
      case 'update':
        this.takeUpdate(call, message)
        return undefined
      case 'members':
        receiveRecords(this.receiver, message.records, this.publisher)
        return undefined
      case 'buckets':
        call.write(makeComplete(this.receiver.replica, message))
        return undefined
      case 'suspects':
        receiveSuspects(this.receiver.replica.suspects, message, this.publisher)
        return undefined
      case 'synced':
        this.finishSync(call)
        return undefined
    }
  }

  private takeAccept (accept: Accept): UpstreamEnd | undefined {
    if (this.options.needsSource === true && !accept.sourceUp) return { reason: 'no-source', detail: `${this.address} has no source` }
    const { place, identity } = this.receiver.replica
    const loop = this.checkLoop(accept.path)
    if (loop !== undefined) return loop
    this.publisher = accept.node
    if (accept.region !== identity.region) this.ackDelayMs = REGION_ACK_DELAY_MS
    this.markAttached()
    this.moveUnder({ tick: place.tick, sourceUp: accept.sourceUp }, accept)
    return undefined
  }

  private takeBeat (beat: Beat): UpstreamEnd | undefined {
    this.silence.noteTick(beat.tick, beat.sourceUp)
    this.moveUnder(beat, beat.position)
    if (beat.position !== undefined) this.receiver.replica.time.advance(beat.position.stamp)
    return beat.position === undefined ? undefined : this.checkLoop(beat.position.path)
  }

  private checkLoop (path: readonly string[]): UpstreamEnd | undefined {
    const { host } = this.receiver.replica.identity
    return path.includes(host) ? { reason: 'loop', detail: `${this.address} is below this node` } : undefined
  }

  private moveUnder ({ tick, sourceUp }: Pick<Beat, 'tick' | 'sourceUp'>, position?: Omit<Position, 'stamp'>): void {
    const { replica } = this.receiver
    const { identity, place } = replica
    const above = position === undefined
      ? place
      : { path: [...position.path, identity.host], pathPeers: [...position.pathPeers, identity.peer], candidates: position.candidates }
    const { path, pathPeers, candidates } = above
    replica.moveTo({ path, pathPeers, candidates, tick, sourceUp, upstream: this.address })
  }

  private takeUpdate (call: UpstreamCall, update: Update): void {
    const { replica } = this.receiver
    if (update.version <= (replica.table.staged.get(update.service)?.version ?? 0)) return
    const read = readUpdate(update, replica.findVersion(update.service, update.base ?? 0))
    if (read.ok) {
      receiveEntries(this.receiver, [read.val], this.publisher)
      return
    }
    this.options.log.warn(`${read.val.message}; asking for the full text`)
    if (update.text === undefined) call.write({ type: 'resend', service: update.service })
  }

  private finishSync (call: UpstreamCall): void {
    const { replica } = this.receiver
    const isSameZone = replica.members.get(this.publisher)?.zone === replica.identity.zone
    if (isSameZone) void sendSuspects(replica.suspects, call, this.publisher, this.ended.signal)
    replica.ready = true
    call.write({ type: 'members', records: replica.listRecords([replica.identity.host]) })
    this.noteUnacked(replica.acks.listServices())
  }

  private forwardChange (pending: PendingHosts, change: Change): void {
    if (!this.attached) return
    this.noteUnacked(change.services)
    if (change.source !== this.publisher) pending.push(change.hosts)
  }

  /** The first change starts the delay, so that a steady stream of changes cannot postpone the acknowledgement. */
  private noteUnacked (services: Iterable<string>): void {
    const isWaiting = this.unacked.size > 0
    for (const service of services) this.unacked.add(service)
    if (!isWaiting && this.unacked.size > 0) void this.awaitAckTime()
  }

  private async awaitAckTime (): Promise<void> {
    await this.receiver.clock.sleep(this.ackDelayMs, this.ended.signal)
    this.inbox.push({ kind: 'ack' })
  }

  private sendAck (call: UpstreamCall): void {
    const { acks } = this.receiver.replica
    call.write({ type: 'ack', counts: acks.sumCounts(this.unacked), lagging: acks.listLagging() })
    this.unacked.clear()
  }
}
