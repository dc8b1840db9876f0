/**
 * The timeline as text: one line per event with the time, the process and a description.
 */
import type { TimelineEvent } from '../schema.js'

export function formatEvent (event: TimelineEvent): string {
  const time = new Date(event.wall).toISOString()
  const subject = [event.service, event.version === undefined ? undefined : `version ${event.version}`, event.host, event.request]
  const about = subject.filter(part => part !== undefined).join(' ')
  return [`${time}/${event.counter}`, event.node, event.zone, event.kind, about, event.text].filter(part => part !== '').join('  ')
}

export function formatEvents (events: readonly TimelineEvent[]): string {
  return events.map(formatEvent).join('\n')
}
