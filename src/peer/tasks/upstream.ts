/**
 * The task of one upstream peer: resumes from what the node holds, takes each change, and
 * reports its subtree's records and acknowledgements upward, until the stream ends or falls silent.
 */
import { merge, periodic } from 'most'
import { Channel, drainStream } from '../../core/index.js'
import type { Logger } from '../../core/index.js'
import { makeVector } from '../../snapshot/index.js'
import { receiveEntries, receiveRecords } from '../commands/receive.js'
import type { Receiver } from '../commands/receive.js'
import type { Beat, Down, Update } from '../messages.js'
import { readUpdate } from '../queries/difference.js'
import type { Change, Replica } from '../replica.js'
import type { UpstreamCall } from '../services.js'
import { receiveSuspects, sendSuspects } from '../suspects.js'
import { Upstream } from '../upstream.js'
import type { UpstreamEnd } from '../upstream.js'

export const SILENCE_MS = 1_500
const CHECK_INTERVAL_MS = 250
const ACK_DEBOUNCE_MS = 50

type Item = { kind: 'message', message: Down } | { kind: 'change', change: Change } | { kind: 'check' } | { kind: 'ack' }

export type OpenCall = (address: string) => UpstreamCall

export class PeerUpstream extends Upstream {
  private publisher = ''
  private readonly ended = new AbortController()
  private heardAt: number
  private readonly unacked = new Set<string>()

  constructor (
    private readonly receiver: Receiver, private readonly open: OpenCall, private readonly address: string, private readonly log: Logger
  ) {
    super()
    this.heardAt = receiver.clock.monotonic()
  }

  override get name (): string {
    return this.address
  }

  override async run (signal: AbortSignal): Promise<UpstreamEnd> {
    const { ended } = this
    const call = this.open(this.address)
    const inbox = this.openInbox(call, AbortSignal.any([signal, ended.signal]))
    try {
      this.sendHello(call)
      for await (const item of inbox) {
        const end = this.handleItem(call, item)
        if (end !== undefined) return end
      }
      return { reason: 'closed', detail: `${this.address} closed the stream` }
    } finally {
      ended.abort()
      call.cancel()
    }
  }

  private openInbox (call: UpstreamCall & { cancel: () => void }, signal: AbortSignal): Channel<Item> {
    const inbox = new Channel<Item>()
    call.on('data', (message: Down) => { inbox.push({ kind: 'message', message }) })
    for (const event of ['end', 'error', 'close']) call.on(event, () => { inbox.close() })
    signal.addEventListener('abort', () => { inbox.close() }, { once: true })
    const changes = this.receiver.replica.changes.stream
    const items = merge<Item>(
      changes.map(change => ({ kind: 'change', change }) as const),
      changes.filter(change => change.services.length > 0).debounce(ACK_DEBOUNCE_MS).constant({ kind: 'ack' } as const),
      periodic(CHECK_INTERVAL_MS).constant({ kind: 'check' } as const)
    )
    drainStream<Item>(items, inbox, signal)
    return inbox
  }

  private sendHello (call: UpstreamCall): void {
    const { identity, duties, table } = this.receiver.replica
    call.write({
      type: 'hello',
      node: identity.host,
      zone: identity.zone,
      region: identity.region,
      peer: identity.peer,
      duties: [...duties],
      vector: makeVector(table.staged)
    })
  }

  private handleItem (call: UpstreamCall, item: Item): UpstreamEnd | undefined {
    switch (item.kind) {
      case 'message':
        this.heardAt = this.receiver.clock.monotonic()
        return this.handleMessage(call, item.message)
      case 'change':
        this.forwardChange(call, item.change)
        return undefined
      case 'ack':
        this.sendAck(call)
        return undefined
      case 'check':
        return this.checkSilence()
    }
  }

  private checkSilence (): UpstreamEnd | undefined {
    const silentMs = this.receiver.clock.monotonic() - this.heardAt
    return silentMs > SILENCE_MS ? { reason: 'silent', detail: `${this.address} sent nothing for ${Math.round(silentMs)} ms` } : undefined
  }

  private handleMessage (call: UpstreamCall, message: Down): UpstreamEnd | undefined {
    const { replica } = this.receiver
    switch (message.type) {
      case 'redirect':
        return { reason: 'redirect', peers: message.peers }
      case 'retry':
        return { reason: 'retry', afterMs: message.afterMs }
      case 'accept':
        this.publisher = message.node
        this.moveUnder(replica, { path: message.path, pathPeers: message.pathPeers })
        return this.checkLoop(message.path)
      case 'beat':
        this.moveUnder(replica, message)
        return this.checkLoop(message.path)
      case 'update':
        this.takeUpdate(call, message)
        return undefined
      case 'members':
        receiveRecords(this.receiver, message.records, this.publisher)
        return undefined
      case 'suspects':
        receiveSuspects(replica.suspects, message, this.publisher)
        return undefined
      case 'synced':
        this.finishSync(call)
        return undefined
    }
  }

  private checkLoop (path: readonly string[]): UpstreamEnd | undefined {
    const { host } = this.receiver.replica.identity
    return path.includes(host) ? { reason: 'loop', detail: `${this.address} is below this node` } : undefined
  }

  private moveUnder (replica: Replica, from: Pick<Beat, 'path' | 'pathPeers'> & Partial<Omit<Beat, 'type'>>): void {
    const { identity, place } = replica
    replica.moveTo({
      path: [...from.path, identity.host],
      pathPeers: [...from.pathPeers, identity.peer],
      tick: from.tick ?? place.tick,
      sourceUp: from.sourceUp ?? place.sourceUp,
      renewals: { ...place.renewals, ...from.renewals },
      candidates: from.candidates ?? [],
      upstream: this.address
    })
  }

  private takeUpdate (call: UpstreamCall, update: Update): void {
    const { replica } = this.receiver
    const read = readUpdate(update, replica.findVersion(update.service, update.base ?? 0))
    if (read.ok) {
      receiveEntries(this.receiver, [read.val], this.publisher)
      return
    }
    this.log.warn(`${read.val.message}; asking for the full text`)
    if (update.text === undefined) call.write({ type: 'resend', service: update.service })
  }

  private finishSync (call: UpstreamCall): void {
    const { replica } = this.receiver
    const isSameZone = replica.members.get(this.publisher)?.zone === replica.identity.zone
    if (isSameZone) void sendSuspects(replica.suspects, call, this.publisher, this.ended.signal)
    replica.ready = true
    call.write({ type: 'members', records: replica.listRecords() })
    for (const service of replica.acks.listServices()) this.unacked.add(service)
    this.sendAck(call)
  }

  private forwardChange (call: UpstreamCall, change: Change): void {
    for (const service of change.services) this.unacked.add(service)
    if (change.source === this.publisher || change.hosts.length === 0) return
    call.write({ type: 'members', records: this.receiver.replica.listRecords(change.hosts) })
  }

  private sendAck (call: UpstreamCall): void {
    const { replica } = this.receiver
    if (this.unacked.size === 0) return
    call.write({ type: 'ack', counts: replica.acks.sumCounts(this.unacked), lagging: replica.acks.listLagging() })
    this.unacked.clear()
  }
}
