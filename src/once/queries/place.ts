/**
 * Which shard object has the claim of a key, and which shards have expired.
 */
import { hashIndex } from '../../core/index.js'
import { BUCKET_MS, SHARD_KEPT_MS, SHARDS } from '../schema.js'
import type { ClaimRequest } from '../schema.js'

export interface Place { bucket: number, shard: number }

export function formatClaimId ({ service, key }: Pick<ClaimRequest, 'service' | 'key'>): string {
  return `${service} ${key}`
}

export function findPlace (request: ClaimRequest): Place {
  return { bucket: Math.floor(request.timeMs / BUCKET_MS), shard: hashIndex(formatClaimId(request), SHARDS) }
}

export function formatShardName ({ bucket, shard }: Place): string {
  return `${bucket}-${shard}`
}

export function formatCursorName (shard: number): string {
  return `swept-${shard}`
}

/**
 * The first bucket that is still kept, as a creator of a shard sees it. Its key's time bounds the
 * time that its own clock gives, so a node whose clock is hours ahead does not remove claims that are in use.
 */
export function computeFirstKept ({ bucket }: Place, now: number): number {
  return Math.floor((Math.min(now, bucket * BUCKET_MS) - SHARD_KEPT_MS) / BUCKET_MS)
}
