/**
 * Which buckets of a zone differ between two nodes.
 */
import { BUCKET_COUNT } from '../digest.js'

/** Both sides as `formatBuckets` gives them. All buckets when the other side has another number of them. */
export function listDifferingBuckets (own: Uint8Array, theirs: Uint8Array): number[] {
  const all = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket)
  if (own.length !== theirs.length) return all
  const width = own.length / BUCKET_COUNT
  return all.filter(bucket => {
    const [from, to] = [bucket * width, (bucket + 1) * width]
    return Buffer.compare(own.subarray(from, to), theirs.subarray(from, to)) !== 0
  })
}
