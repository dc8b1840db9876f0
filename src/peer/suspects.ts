/**
 * Marks on suspect requests between two nodes of one zone. Other zones do not get them: a request that
 * crashes targets is sent again to the zone of its caller.
 */
import { Channel, drainStream } from '../core/index.js'
import { clearSuspects, markSuspects } from '../suspect/index.js'
import type { SuspectChange, SuspectTable, Suspects } from '../suspect/index.js'

export interface SuspectStream { write: (message: Suspects) => unknown }

/** The task of one peer: sends all marks, then each change that did not come from the peer, until the signal is aborted. */
export async function sendSuspects (table: SuspectTable, stream: SuspectStream, peer: string, signal: AbortSignal): Promise<void> {
  const changes = new Channel<SuspectChange>()
  signal.addEventListener('abort', () => { changes.close() }, { once: true })
  drainStream(table.changes.stream, changes, signal)
  const marks = table.listMarks()
  if (marks.length > 0) stream.write({ type: 'suspects', marks, cleared: [] })
  for await (const { marks, cleared, source } of changes) {
    if (source !== peer && !signal.aborted) stream.write({ type: 'suspects', marks: [...marks], cleared: [...cleared] })
  }
}

export function receiveSuspects (table: SuspectTable, { marks, cleared }: Suspects, peer: string): void {
  markSuspects(table, marks, peer)
  clearSuspects(table, cleared, peer)
}
