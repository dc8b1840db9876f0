/**
 * Removal of expired shards by whoever creates a new one. A cursor object for each shard number
 * says which buckets are done, so a pause in traffic is caught up with later, a bounded part at a time.
 */
import type { ObjectStore } from '../../store/index.js'
import { computeFirstKept, formatCursorName, formatShardName } from '../queries/place.js'
import type { Place } from '../queries/place.js'
import { cursorSchema } from '../schema.js'

/** One creation in six sweeps, so the cursor costs little; a sweep can pass over ten times as many buckets, to catch up. */
const SWEEP_EVERY_BUCKETS = 6
const MAX_BUCKETS = 60

/** Gives the number of removed shards. Any failure leaves the rest to the next sweep. */
export async function pruneShards (store: ObjectStore, created: Place, now: number): Promise<number> {
  const { bucket, shard } = created
  if (bucket % SWEEP_EVERY_BUCKETS !== shard % SWEEP_EVERY_BUCKETS) return 0
  const firstKept = computeFirstKept(created, now)
  const held = await store.queries.get('claim', formatCursorName(shard))
  if (held.err) return 0
  const from = cursorSchema.safeParse(held.val?.value).data?.bucket ?? firstKept - 1
  const to = Math.min(firstKept, from + MAX_BUCKETS)
  let removed = 0
  for (let old = from; old < to; old += 1) {
    const gone = await removeShard(store, { bucket: old, shard })
    if (gone === undefined) return removed
    removed += gone
  }
  if (to > from) await store.commands.write({ kind: 'claim', name: formatCursorName(shard), expected: held.val?.version ?? 0, value: { bucket: to } })
  return removed
}

/** Nothing when it is not known whether the shard is gone. */
async function removeShard (store: ObjectStore, place: Place): Promise<number | undefined> {
  const name = formatShardName(place)
  const old = await store.queries.get('claim', name)
  if (old.err) return undefined
  if (old.val === undefined) return 0
  const removed = await store.commands.remove({ kind: 'claim', name, expected: old.val.version })
  return removed.ok ? 1 : undefined
}
