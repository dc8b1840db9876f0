/**
 * Records on the time line what a node learns from its peers: versions as they arrive, and what
 * becomes of the targets of other hosts.
 */
import type { HostRecord } from '../../membership/index.js'
import type { Change, Replica } from '../../peer/index.js'
import type { EventKind, Recorder } from '../../timeline/index.js'

export function recordChanges (replica: Replica, recorder: Recorder, signal: AbortSignal): void {
  const observer = new ChangeObserver(replica, recorder)
  const subscription = replica.changes.stream.subscribe({
    next: change => { observer.note(change) },
    error: () => {},
    complete: () => {}
  })
  signal.addEventListener('abort', () => { subscription.unsubscribe() }, { once: true })
}

class ChangeObserver {
  private readonly staged = new Map<string, number>()
  private readonly states = new Map<string, string>()

  constructor (private readonly replica: Replica, private readonly recorder: Recorder) {}

  note ({ services, hosts, source }: Change): void {
    for (const service of services) this.noteService(service, source)
    for (const record of this.replica.listRecords(hosts)) this.noteRecord(record)
  }

  /** A change is also emitted for acknowledgements, which bring no new version. */
  private noteService (service: string, source: string | undefined): void {
    const entry = this.replica.table.staged.get(service)
    if (entry === undefined || this.staged.get(service) === entry.version) return
    this.staged.set(service, entry.version)
    this.recorder.record('document-staged', source === undefined ? 'from the platform' : `from ${source}`, { service, version: entry.version })
  }

  private noteRecord (record: HostRecord): void {
    if (record.host === this.replica.identity.host) return
    const state = describeState(record)
    if (this.states.get(record.host) === state) return
    this.states.set(record.host, state)
    this.recorder.record(findKind(record), state, { host: record.host })
  }
}

function describeState (record: HostRecord): string {
  const targets = record.targets.map(target => `${target.target} ${target.state}`).join(', ')
  return `${record.lost ? 'lost' : record.state}, targets: ${targets === '' ? 'none' : targets}`
}

function findKind (record: HostRecord): EventKind {
  if (record.lost) return 'target-lost'
  return record.state === 'leaving' || record.targets.some(target => target.state === 'leaving') ? 'target-leaving' : 'target-joined'
}
