/**
 * Logs changes of other hosts and records them on the timeline, as this node learns of them.
 */
import type { StructuredLog } from '../../core/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { EventKind, EventRecorder } from '../../timeline/index.js'
import type { NodeState } from '../state.js'

export interface ObserveContext { state: NodeState, log: StructuredLog, recorder: EventRecorder }

export function observeHosts (context: ObserveContext, signal: AbortSignal): void {
  const observer = new HostObserver(context)
  const subscription = context.state.recordUpdates.stream.subscribe({
    next: ({ records, from }) => { records.forEach(record => { observer.recordChange(record, from ?? 'store') }) },
    error: () => {},
    complete: () => {}
  })
  signal.addEventListener('abort', () => { subscription.unsubscribe() }, { once: true })
}

class HostObserver {
  private readonly descriptions = new Map<string, string>()

  constructor (private readonly context: ObserveContext) {}

  recordChange (record: HostRecord, from: string): void {
    const { state, log, recorder } = this.context
    const { host, incarnation, sequence } = record
    if (host === state.identity.host) return
    const description = describeRecord(record)
    if (this.descriptions.get(host) === description) return
    this.descriptions.set(host, description)
    log.log('change', 'host_changed', { peer: host, is: description, incarnation, sequence, from })
    recorder.record(getEventKind(record), description, { host })
  }
}

function describeRecord ({ gone, state, targets }: HostRecord): string {
  const listed = targets.map(target => `${target.target} ${target.service} ${target.state}`).join(', ')
  return `${gone === true ? 'gone' : state}, targets: ${listed === '' ? 'none' : listed}`
}

function getEventKind ({ gone, state, targets }: HostRecord): EventKind {
  if (gone === true) return 'target-gone'
  return state === 'leaving' || targets.some(target => target.state === 'leaving') ? 'target-leaving' : 'target-joined'
}
