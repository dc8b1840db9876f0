/**
 * `comfreyspoke timeline`: prints the events of all processes in one order, as text, JSON lines or an HTML page.
 */
import { writeFile } from 'node:fs/promises'
import { defineCommand } from 'citty'
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { readEdit } from '../../document/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { PeerClient } from '../../peer/index.js'
import type { ObjectStore } from '../../store/index.js'
import { eventFilterSchema, explainVersion, formatEvents, formatHtmlPage, mergeEvents } from '../../timeline/index.js'
import type { EventFilter, VersionQuery, TimelineEvent } from '../../timeline/index.js'
import { COMMON_FLAGS, openPeerClient, openStore, TLS_FLAGS } from '../flags.js'
import { listHosts, queryHosts } from '../hosts.js'
import { printResult, reportFaults } from '../output.js'

/** Further hosts are not queried. `--zone`, or `--explain` with `--host`, narrows the hosts down. */
const MAX_QUERIED_HOSTS = 500

interface CollectedEvents { events: TimelineEvent[], unresponsive: string[], skipped: number }

async function collectEvents (client: PeerClient, hosts: readonly HostRecord[], filter: EventFilter): Promise<CollectedEvents> {
  const queried = hosts.slice(0, MAX_QUERIED_HOSTS)
  const eventLists: TimelineEvent[][] = []
  const unresponsive: string[] = []
  await queryHosts(queried, async ({ host, peer }) => {
    const response = await client.queryTimeline(peer, filter)
    if (response.ok) eventLists.push(response.val.events)
    else unresponsive.push(host)
  })
  return { events: mergeEvents(eventLists), unresponsive, skipped: hosts.length - queried.length }
}

async function findHosts (store: ObjectStore, client: PeerClient, peer: string | undefined): Promise<Result<HostRecord[], Fault>> {
  if (peer === undefined) return await listHosts(store)
  const response = await client.queryStatus(peer)
  return response.ok ? Ok(response.val.records) : response
}

function parseTime (text: string | undefined): number | undefined {
  return text === undefined ? undefined : Date.parse(text)
}

/** Returns the wall-clock time of acceptance, or undefined when the version is no longer the accepted one. */
async function findAcceptedAt (store: ObjectStore, service: string, version: number): Promise<number | undefined> {
  const edit = await readEdit(store, service)
  return edit.ok && edit.val?.version === version ? edit.val.edit.acceptedAt : undefined
}

export const timelineCommand = defineCommand({
  meta: { name: 'timeline', description: 'Show the events of all processes in one order.' },
  args: {
    service: { type: 'string', description: 'only events of this service' },
    version: { type: 'string', description: 'only events of this version' },
    request: { type: 'string', description: 'only events of this request identifier' },
    host: { type: 'string', description: 'only events that this host recorded or that are about it' },
    zone: { type: 'string', description: 'only events recorded in this zone' },
    since: { type: 'string', description: 'from this time on, ISO 8601' },
    until: { type: 'string', description: 'up to this time, ISO 8601' },
    explain: { type: 'boolean', default: false, description: 'say when --version of --service was in force on --host, and why not before' },
    html: { type: 'string', description: 'write a page with one lane for each process to this file' },
    peer: { type: 'string', description: 'peer address of a node to learn the hosts from (default: the records in the store)' },
    ...TLS_FLAGS,
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const question = parseFlags(args)
    if (question.err) {
      reportFaults(args.json, question.val)
      return
    }
    const store = openStore(args.platform)
    const client = await openPeerClient(args)
    const hosts = await findHosts(store, client, args.peer)
    if (hosts.err) reportFaults(args.json, [hosts.val])
    else if (question.val.explain !== undefined) await printExplanation(store, client, hosts.val, question.val.explain, args.json)
    else await printEvents(await collectEvents(client, selectHosts(hosts.val, question.val.filter), question.val.filter), args.json, args.html)
    client.close()
    await store.close()
  }
})

interface TimelineQuery { filter: EventFilter, explain?: VersionQuery }

interface TimelineFlags {
  service?: string
  version?: string
  request?: string
  host?: string
  zone?: string
  since?: string
  until?: string
  explain: boolean
}

function parseFlags (flags: TimelineFlags): Result<TimelineQuery, Fault[]> {
  const { service, request, host, zone } = flags
  const filter = eventFilterSchema.safeParse({
    service,
    request,
    host,
    zone,
    version: flags.version === undefined ? undefined : Number(flags.version),
    since: parseTime(flags.since),
    until: parseTime(flags.until)
  })
  if (!filter.success) return Err(filter.error.issues.map(issue => makeFault('usage', `--${issue.path.join('.')}: ${issue.message}`)))
  if (!flags.explain) return Ok({ filter: filter.data })
  const { version } = filter.data
  if (service === undefined || version === undefined || host === undefined) {
    return Err([makeFault('usage', '--explain needs --service, --version and --host')])
  }
  return Ok({ filter: filter.data, explain: { service, version, host } })
}

/** Ignores `--host`, because any host may have recorded events about another host. */
function selectHosts (hosts: readonly HostRecord[], { zone }: EventFilter): HostRecord[] {
  return hosts.filter(record => zone === undefined || record.zone === zone)
}

async function printExplanation (
  store: ObjectStore, client: PeerClient, hosts: readonly HostRecord[], question: VersionQuery, json: boolean
): Promise<void> {
  const { events } = await collectEvents(client, hosts.filter(record => record.host === question.host), {})
  const acceptedAt = await findAcceptedAt(store, question.service, question.version)
  const lines = explainVersion(events, acceptedAt === undefined ? question : { ...question, acceptedAt })
  printResult(json, lines, lines.join('\n'))
}

async function printEvents ({ events, unresponsive, skipped }: CollectedEvents, json: boolean, html: string | undefined): Promise<void> {
  if (html !== undefined) await writeFile(html, formatHtmlPage(events))
  if (json) process.stdout.write(events.map(event => `${JSON.stringify(event)}\n`).join(''))
  else if (html === undefined) process.stdout.write(`${formatEvents(events)}\n`)
  if (unresponsive.length > 0) process.stderr.write(`comfreyspoke: no response from ${unresponsive.join(', ')}\n`)
  if (skipped > 0) process.stderr.write(`comfreyspoke: ${skipped} hosts were not queried; narrow the hosts down with --zone\n`)
}
