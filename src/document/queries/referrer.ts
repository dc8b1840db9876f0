/**
 * Decisions on the entries of a `referrers` object.
 */
import type { Referrers } from '../stored.js'
import { findStateReferences } from './read.js'
import type { ReferrersState, ServiceState } from './read.js'

/**
 * `present`: the referrer's document refers to the service. `over`: it does not, and no edit that
 * could is left. `pending`: it does not, but an edit conditioned on the referrer's present
 * version may come. `unreadable`: the referrer's object holds no valid document.
 */
export type EntryState = 'present' | 'over' | 'pending' | 'unreadable'

export function decideEntry (referrer: ServiceState, base: number, service: string): EntryState {
  const references = findStateReferences(referrer)
  if (references === undefined) return 'unreadable'
  if (references.includes(service)) return 'present'
  return referrer.version > base ? 'over' : 'pending'
}

export interface Reference { service: string, referrer: ServiceState }

/**
 * True when the entry that is there covers an edit of the referrer. It is removed only after the
 * referrer's object has gone past a version that refers to the service, and the edit then conflicts.
 */
export function isRecorded ({ referrers }: ReferrersState, { service, referrer }: Reference): boolean {
  const base = referrers.referrers[referrer.service]
  if (base === undefined || referrers.closing !== undefined) return false
  return base === referrer.version || findStateReferences(referrer)?.includes(service) === true
}

/** Only for a service that is present and past the version of the mark, which is dropped with this. */
export function deriveWithReferrer ({ referrers }: Referrers, { service, version }: ServiceState): Referrers {
  return { referrers: { ...referrers, [service]: Math.max(version, referrers[service] ?? 0) } }
}

export function deriveWithout (held: Referrers, names: readonly string[]): Referrers {
  const referrers = Object.fromEntries(Object.entries(held.referrers).filter(([name]) => !names.includes(name)))
  return { ...held, referrers }
}
