/**
 * Finds the buckets of a zone that differ between two nodes.
 */
import { BUCKET_COUNT } from '../digest.js'

/** Compares two results of `getBucketDigests`. Returns all buckets if the other node has a different number of buckets. */
export function listDifferingBuckets (local: Uint8Array, remote: Uint8Array): number[] {
  const all = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket)
  if (local.length !== remote.length) return all
  const width = local.length / BUCKET_COUNT
  return all.filter(bucket => {
    const [from, to] = [bucket * width, (bucket + 1) * width]
    return Buffer.compare(local.subarray(from, to), remote.subarray(from, to)) !== 0
  })
}
