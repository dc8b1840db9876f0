/**
 * Decisions on the entries of a `referrers` object.
 */
import type { Referrers } from '../stored.js'
import { findReferences } from './read.js'
import type { ReferrersState, ServiceState } from './read.js'

/**
 * `present`: the referrer's document refers to the service. `over`: the document does not, and no
 * edit that would can still arrive. `pending`: the document does not, but an edit that is conditional
 * on the referrer's current version may arrive. `unreadable`: the referrer's object has no valid document.
 */
export type EntryState = 'present' | 'over' | 'pending' | 'unreadable'

export function decideEntry (referrer: ServiceState, base: number, service: string): EntryState {
  const references = findReferences(referrer)
  if (references === undefined) return 'unreadable'
  if (references.includes(service)) return 'present'
  return referrer.version > base ? 'over' : 'pending'
}

export interface Reference { service: string, referrer: ServiceState }

/**
 * Returns true when the existing entry covers an edit of the referrer. The entry is removed only after
 * the referrer's object is past a version that refers to the service, and the edit then conflicts.
 */
export function isRecorded ({ referrers }: ReferrersState, { service, referrer }: Reference): boolean {
  const base = referrers.referrers[referrer.service]
  if (base === undefined || referrers.closing !== undefined) return false
  return base === referrer.version || findReferences(referrer)?.includes(service) === true
}

/** Only for a service that is present and past the version of the closing mark. The result has no closing mark. */
export function deriveWithReferrer ({ referrers }: Referrers, { service, version }: ServiceState): Referrers {
  return { referrers: { ...referrers, [service]: Math.max(version, referrers[service] ?? 0) } }
}

export function deriveWithoutReferrers (existing: Referrers, names: readonly string[]): Referrers {
  const referrers = Object.fromEntries(Object.entries(existing.referrers).filter(([name]) => !names.includes(name)))
  return { ...existing, referrers }
}
