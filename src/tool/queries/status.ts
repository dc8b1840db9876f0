/**
 * `comfreyspoke status`: prints the accepted version of each service and the number of nodes that have it in force.
 */
import { defineCommand } from 'citty'
import { listEdits } from '../../document/index.js'
import type { EditList } from '../../document/index.js'
import type { HostRecord } from '../../membership/index.js'
import type { PeerClient } from '../../peer/index.js'
import { EXIT } from '../exit.js'
import { COMMON_FLAGS, openPeerClient, openStore, TLS_FLAGS } from '../flags.js'
import { listHosts, queryHosts } from '../hosts.js'
import { printResult, reportFaults } from '../output.js'
import { computeFleetStatus } from './fleet.js'
import type { FleetStatus, NodeReport } from './fleet.js'

interface ServiceStatus { service: string, accepted: number, deleted: boolean, inForce: number }

async function queryNode (client: PeerClient, record: HostRecord): Promise<NodeReport> {
  const result = await client.queryStatus(record.peer)
  return result.ok ? { record, response: result.val, reason: '' } : { record, response: undefined, reason: result.val.message }
}

function listServices ({ edits, invalid }: EditList, { counts }: FleetStatus): ServiceStatus[] {
  const accepted = [...edits.map(({ service, version, edit }) => ({ service, version, deleted: edit.deleted })),
    ...invalid.map(({ service, version }) => ({ service, version, deleted: false }))]
  return accepted.map(({ service, version, deleted }) => ({ service, accepted: version, deleted, inForce: counts[service]?.[String(version)] ?? 0 }))
}

function formatStatus (fleet: FleetStatus, services: readonly ServiceStatus[]): string {
  return [
    ...services.map(({ service, accepted, deleted, inForce }) =>
      `${service}\taccepted ${accepted}${deleted ? ' (deleted)' : ''}\tin force on ${inForce} of ${fleet.nodes} nodes`),
    ...fleet.silent.map(({ host, zone, reason }) => `no response: ${host} in ${zone}: ${reason}`),
    ...fleet.lagging.map(({ host, service, version }) => `lagging: ${host} ${service} version ${version}`),
    ...fleet.withoutStore.map(host => `cannot reach the platform: ${host}`),
    ...fleet.refused.map(refusal => `refused: ${refusal.service} version ${refusal.version}: ${refusal.reason}`)
  ].join('\n')
}

export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show which version is in force on how many nodes, which nodes do not answer, and which lag or refused a version.' },
  args: { ...TLS_FLAGS, ...COMMON_FLAGS },
  run: async ({ args }) => {
    const store = openStore(args.platform)
    const client = await openPeerClient(args)
    const [edits, hosts] = await Promise.all([listEdits(store), listHosts(store)])
    await store.close()
    if (edits.err) return reportFaults(args.json, [edits.val])
    if (hosts.err) return reportFaults(args.json, [hosts.val])
    const fleet = computeFleetStatus(await queryHosts(hosts.val, async record => await queryNode(client, record)))
    client.close()
    const services = listServices(edits.val, fleet)
    printResult(args.json, { ...fleet, services }, formatStatus(fleet, services))
    if (fleet.nodes === 0 || fleet.silent.length > 0) process.exitCode = EXIT.unreachable
  }
})
