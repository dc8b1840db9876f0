/**
 * The version of each service that a node holds, for resuming a stream.
 */
import type { EntryMap } from '../schema.js'

export type Vector = Record<string, number>

export function makeVector (entries: EntryMap): Vector {
  return Object.fromEntries([...entries].map(([service, entry]) => [service, entry.version]))
}
