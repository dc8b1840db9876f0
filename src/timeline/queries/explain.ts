/**
 * Explains when a version came into force on a host, and what delayed it.
 */
import type { TimelineEvent } from '../schema.js'

export interface VersionQuery {
  service: string
  version: number
  host: string
  /** Wall-clock time of acceptance in ms, if the platform still has the edit. */
  acceptedAt?: number
}

/** Returns sentences in chronological order, based on the events that the host itself recorded. */
export function explainVersion (events: readonly TimelineEvent[], { service, version, host, acceptedAt }: VersionQuery): string[] {
  const hostEvents = events.filter(event => event.node === host)
  const serviceEvents = hostEvents.filter(event => event.service === service)
  const staged = serviceEvents.find(event => event.kind === 'document-staged' && (event.version ?? 0) >= version)
  const applied = serviceEvents.find(event => event.kind === 'document-applied' && (event.version ?? 0) >= version)
  const accepted = acceptedAt === undefined ? [] : [`${formatTime(acceptedAt)} accepted as version ${version}`]
  const until = applied?.wall ?? Infinity
  const disruptions = hostEvents.filter(event => isDisruption(event, service) && event.wall >= (acceptedAt ?? 0) && event.wall <= until)
  return [
    ...accepted,
    ...disruptions.map(event => `${formatTime(event.wall)} ${event.kind}: ${event.text}`),
    describeArrival(staged, version, host, acceptedAt),
    describeApplication(applied, version, host, acceptedAt)
  ]
}

function isDisruption (event: TimelineEvent, service: string): boolean {
  if (event.kind === 'document-held' || event.kind === 'document-refused') return event.service === service
  return ['source-lost', 'source-back', 'node-started', 'node-ready'].includes(event.kind)
}

function describeArrival (staged: TimelineEvent | undefined, version: number, host: string, acceptedAt: number | undefined): string {
  if (staged === undefined) return `${host} has no record of receiving version ${version} or a later one`
  return `${formatTime(staged.wall)} ${describeVersion(staged, version)} received${formatDelay(staged.wall, acceptedAt)}: ${staged.text}`
}

function describeApplication (applied: TimelineEvent | undefined, version: number, host: string, acceptedAt: number | undefined): string {
  if (applied === undefined) return `version ${version} is not in force on ${host}, as far as its events go back`
  return `${formatTime(applied.wall)} ${describeVersion(applied, version)} in force${formatDelay(applied.wall, acceptedAt)}`
}

/** A later version that arrived first replaces the requested version, which then was never in force by itself. */
function describeVersion (event: TimelineEvent, version: number): string {
  return event.version === version ? `version ${version}` : `version ${event.version ?? 0}, which replaced ${version},`
}

function formatDelay (wall: number, acceptedAt: number | undefined): string {
  return acceptedAt === undefined ? '' : ` ${wall - acceptedAt} ms after acceptance`
}

function formatTime (wall: number): string {
  return new Date(wall).toISOString()
}
