/**
 * Selects the targets of a service by version.
 */
import { selectUsable } from '../../membership/index.js'
import type { Target } from '../../membership/index.js'
import type { Rollout } from '../schema.js'

export interface VersionTargets {
  earlier: readonly Target[]
  next: readonly Target[]
  /** The targets of the new version that get the canary requests. */
  canary: readonly Target[]
}

export interface CanaryChoice {
  /** The part of the requests that the new version gets. */
  share: number
  /** The targets that get them change with this number, since hosts differ in speed. */
  turn: number
  /** True for a target that has been ready for long enough to be judged. */
  isWarm: (target: Target) => boolean
}

export function splitByVersion (targets: readonly Target[], rollout: Rollout, { share, turn, isWarm }: CanaryChoice): VersionTargets {
  const earlier = targets.filter(({ version }) => version !== rollout.newVersion)
  const next = targets.filter(({ version }) => version === rollout.newVersion)
  const warm = next.filter(target => target.state === 'ready' && isWarm(target))
  // As few targets as get the load of one of the earlier version each, so that a fault that appears under load is detected.
  const size = Math.max(1, Math.floor(countUsable(earlier) * share))
  const ranked = warm.map(target => ({ target, rank: computeRank(`${rollout.id} ${target.host}`) })).sort((left, right) => left.rank - right.rank)
  const first = ranked.length === 0 ? 0 : turn * size % ranked.length
  return { earlier, next, canary: [...ranked.slice(first), ...ranked.slice(0, first)].slice(0, size).map(({ target }) => target) }
}

/**
 * Selects the version that serves without a rollout: `known`, which has served before, as long as it has targets, and otherwise that of
 * the target that started first. Once its last target has gone, the next one serves at once.
 */
export function selectEstablished (targets: readonly Target[], known?: string): readonly Target[] {
  const versions = new Set(targets.map(({ version }) => version))
  if (versions.size <= 1) return targets
  if (known !== undefined && targets.some(({ version, state }) => version === known && state !== 'leaving')) {
    return targets.filter(({ version }) => version === known)
  }
  const usable = targets.filter(({ state }) => state !== 'leaving')
  const first = usable.reduce<Target | undefined>((best, target) => best === undefined || compareStarts(target, best) < 0 ? target : best, undefined)
  return first === undefined ? targets : targets.filter(({ version }) => version === first.version)
}

export function countUsable (targets: readonly Target[]): number {
  return selectUsable(targets).length
}

/** Ranks hosts for a service, the highest first. */
export function orderHosts (service: string, hosts: readonly string[]): string[] {
  return hosts.map(host => ({ host, rank: computeRank(`${service} ${host}`) })).sort((left, right) => right.rank - left.rank || (left.host < right.host ? -1 : 1))
    .map(({ host }) => host)
}

/** A target without a start time may have run for long. */
function compareStarts (left: Target, right: Target): number {
  return (left.startedAt ?? 0) - (right.startedAt ?? 0) || (left.id < right.id ? -1 : 1)
}

const FNV_OFFSET_BASIS = 0x811C9DC5
const FNV_PRIME = 0x01000193

/** FNV-1a with a final mix, since names that differ in the last character only would have close ranks. */
function computeRank (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 15), 0x2C1B3C6D)
  hash = Math.imul(hash ^ (hash >>> 12), 0x297A2D39)
  return (hash ^ (hash >>> 15)) >>> 0
}
