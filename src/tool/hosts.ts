/**
 * Lists the nodes by the host records in the store, and queries several of them in parallel.
 */
import { Err, Ok } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import { convertReadFault } from '../document/index.js'
import { hostRecordSchema } from '../membership/index.js'
import type { HostRecord } from '../membership/index.js'
import type { ObjectStore } from '../store/index.js'

const MAX_PARALLEL_QUERIES = 32

/** Skips objects that are not valid host records. */
export async function listHosts (store: ObjectStore): Promise<Result<HostRecord[], Fault>> {
  const found = await store.queries.list('host')
  if (found.err) return Err(convertReadFault(found.val))
  return Ok(found.val.objects.flatMap(({ value }) => hostRecordSchema.safeParse(value).data ?? []))
}

/** Returns the responses in the order of the hosts. */
export async function queryHosts<T> (hosts: readonly HostRecord[], query: (record: HostRecord) => Promise<T>): Promise<T[]> {
  const responses: T[] = []
  for (let first = 0; first < hosts.length; first += MAX_PARALLEL_QUERIES) {
    responses.push(...await Promise.all(hosts.slice(first, first + MAX_PARALLEL_QUERIES).map(query)))
  }
  return responses
}
