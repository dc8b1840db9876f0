/**
 * Finds nodes to ask: the heads of regions from the platform's leases, and all hosts from what the heads know.
 */
import { Err, Ok, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import { leaseSchema } from '../duty/index.js'
import type { HostRecord } from '../membership/index.js'
import type { PeerClient } from '../peer/index.js'
import type { ObjectStore } from '../store/index.js'

export async function listHeadPeers (store: ObjectStore): Promise<Result<string[], Fault>> {
  const found = await store.queries.list('duty')
  if (found.err) return Err(makeFault(found.val.code, found.val.message))
  return Ok(found.val.objects.filter(object => object.name.startsWith('head-')).flatMap(object => {
    const lease = leaseSchema.safeParse(object.value)
    return lease.success ? [lease.data.peer] : []
  }))
}

/** Hosts that any of the peers knows; the newest record of each. */
export async function listHosts (client: PeerClient, peers: readonly string[]): Promise<Result<HostRecord[], Fault>> {
  const answers = await Promise.all(peers.map(async peer => await client.queryStatus(peer)))
  const hosts = new Map<string, HostRecord>()
  for (const answer of answers) {
    if (answer.err) continue
    for (const record of answer.val.records) {
      const held = hosts.get(record.host)
      if (held === undefined || held.incarnation < record.incarnation) hosts.set(record.host, record)
    }
  }
  return hosts.size === 0 ? Err(makeFault('unreachable', 'no node answers')) : Ok([...hosts.values()])
}
