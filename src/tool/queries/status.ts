/**
 * `comfreyspoke status`: which version of each service is in force on how many nodes, summed over the heads of all regions.
 */
import { defineCommand } from 'citty'
import { Err, Ok } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { convertReadFault, listEdits } from '../../document/index.js'
import type { EditList } from '../../document/index.js'
import { formatHeadDuty, leaseSchema } from '../../duty/index.js'
import type { PeerClient } from '../../peer/index.js'
import type { ObjectStore, StoredObject } from '../../store/index.js'
import { EXIT } from '../exit.js'
import { COMMON_FLAGS, openNodes, openPlatform, TLS_FLAGS } from '../flags.js'
import { printResult, reportFaults } from '../output.js'
import { sumFleet } from './fleet.js'
import type { FleetStatus, HeadReport } from './fleet.js'

const HEAD_PREFIX = formatHeadDuty('')

interface ServiceStatus { service: string, accepted: number, deleted: boolean, inForce: number }

async function queryHeads (store: ObjectStore, client: PeerClient): Promise<Result<HeadReport[], Fault>> {
  const found = await store.queries.list('duty')
  if (found.err) return Err(convertReadFault(found.val))
  const duties = found.val.objects.filter(object => object.name.startsWith(HEAD_PREFIX))
  return Ok(await Promise.all(duties.map(async duty => await queryHead(client, duty))))
}

async function queryHead (client: PeerClient, { name, value }: StoredObject): Promise<HeadReport> {
  const region = name.slice(HEAD_PREFIX.length)
  const lease = leaseSchema.safeParse(value)
  if (!lease.success || lease.data.released) return { region, holder: '', answer: undefined, reason: 'nobody holds its head duty' }
  const { holder, peer } = lease.data
  const answer = await client.queryStatus(peer)
  if (answer.err) return { region, holder, answer: undefined, reason: `its head ${holder} does not answer (${answer.val.message})` }
  const isHead = answer.val.node === holder && answer.val.duties.includes(name)
  return isHead ? { region, holder, answer: answer.val, reason: '' } : { region, holder, answer: undefined, reason: `${holder} is no longer its head` }
}

function listServices ({ edits, invalid }: EditList, { counts }: FleetStatus): ServiceStatus[] {
  const accepted = [...edits.map(({ service, version, edit }) => ({ service, version, deleted: edit.deleted })),
    ...invalid.map(({ service, version }) => ({ service, version, deleted: false }))]
  return accepted.map(({ service, version, deleted }) => ({ service, accepted: version, deleted, inForce: counts[service]?.[String(version)] ?? 0 }))
}

function formatStatus (fleet: FleetStatus, services: readonly ServiceStatus[]): string {
  const silent = fleet.regions.filter(region => !region.answered)
  return [
    ...services.map(({ service, accepted, deleted, inForce }) =>
      `${service}\taccepted ${accepted}${deleted ? ' (deleted)' : ''}\tin force on ${inForce} of ${fleet.nodes} nodes`),
    ...silent.map(({ region, nodes, reason }) => `no answer: region ${region}, ${nodes} nodes not counted as in force: ${reason}`),
    ...fleet.lost > 0 ? [`lost: ${fleet.lost} of the nodes have gone silent`] : [],
    ...fleet.lagging.map(one => `lagging: ${one.node} ${one.service} version ${one.version}: ${one.reason}`),
    ...fleet.refused.map(one => `refused: ${one.service} version ${one.version}: ${one.reason}`)
  ].join('\n')
}

export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show which version is in force on how many nodes, which regions do not answer, and which nodes lag or refused.' },
  args: { ...TLS_FLAGS, ...COMMON_FLAGS },
  run: async ({ args }) => {
    const store = openPlatform(args.platform)
    const client = await openNodes(args)
    const [edits, heads] = await Promise.all([listEdits(store), queryHeads(store, client)])
    client.close()
    await store.close()
    if (edits.err) return reportFaults(args.json, [edits.val])
    if (heads.err) return reportFaults(args.json, [heads.val])
    const fleet = sumFleet(heads.val)
    const services = listServices(edits.val, fleet)
    printResult(args.json, { ...fleet, services }, formatStatus(fleet, services))
    const isWhole = fleet.regions.length > 0 && fleet.regions.every(region => region.answered)
    if (!isWhole) process.exitCode = EXIT.unreachable
  }
})
