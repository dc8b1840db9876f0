/**
 * `comfreyspoke status`: which version of each service is in force on how many nodes, summed over the heads of all regions.
 */
import { defineCommand } from 'citty'
import { Err, Ok, makeFault } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import { listEdits } from '../../document/index.js'
import type { PeerClient, StatusAnswer } from '../../peer/index.js'
import type { ObjectStore } from '../../platform/index.js'
import { COMMON_FLAGS, openNodes, openPlatform, TLS_FLAGS } from '../flags.js'
import { listHeadPeers } from '../heads.js'
import { printResult, reportFaults } from '../output.js'

/** The holder of the platform's region sees every region that follows it, so the largest tree answers. */
async function queryHeads (store: ObjectStore, client: PeerClient): Promise<Result<StatusAnswer, Fault>> {
  const heads = await listHeadPeers(store)
  if (heads.err) return heads
  const answers = await Promise.all(heads.val.map(async peer => await client.queryStatus(peer)))
  const best = answers.flatMap(answer => answer.ok ? [answer.val] : []).sort((left, right) => right.nodes - left.nodes)[0]
  return best === undefined ? Err(makeFault('unreachable', 'no head of a region answers')) : Ok(best)
}

function formatStatus (status: StatusAnswer, accepted: ReadonlyMap<string, number>): string {
  const lines = Object.entries(status.counts).map(([service, versions]) => {
    const newest = accepted.get(service)
    const inForce = versions[String(newest)] ?? 0
    return `${service}\taccepted ${newest ?? 'none'}\tin force on ${inForce} of ${status.nodes} nodes`
  })
  const lagging = status.lagging.map(one => `lagging: ${one.node} ${one.service} version ${one.version}: ${one.reason}`)
  const refused = status.refused.map(one => `refused: ${one.service} version ${one.version}: ${one.reason}`)
  return [...lines, ...lagging, ...refused].join('\n')
}

export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show which version is in force on how many nodes, and which nodes lag or refused.' },
  args: { ...TLS_FLAGS, ...COMMON_FLAGS },
  run: async ({ args }) => {
    const store = openPlatform(args.platform)
    const client = await openNodes(args)
    const [edits, status] = await Promise.all([listEdits(store), queryHeads(store, client)])
    client.close()
    await store.close()
    if (edits.err) reportFaults(args.json, [edits.val])
    else if (status.err) reportFaults(args.json, [status.val])
    else {
      const accepted = new Map(edits.val.edits.map(({ service, version }) => [service, version]))
      printResult(args.json, { ...status.val, accepted: Object.fromEntries(accepted) }, formatStatus(status.val, accepted))
    }
  }
})
