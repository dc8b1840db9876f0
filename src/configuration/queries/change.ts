/**
 * Derives the change between two versions of the configuration, and the newer version from the older one and the change. The load
 * pattern is a configuration of thousands of routes of which each version changes a few.
 */
import type { Entry } from '../../snapshot/index.js'
import type { Configuration, ConfigurationChange } from '../schema.js'

type Routes = NonNullable<Entry['document']>['routes']

/** Compares routes by identity: routes that two versions do not share count as changed. */
export function deriveChange (base: Configuration, next: Configuration): ConfigurationChange {
  const baseEntries = makeEntryMap(base)
  const hasSameAccounts = base.accounts === next.accounts
  const { accounts, ...rest } = next
  const change: ConfigurationChange = {
    base: base.version, next: { ...hasSameAccounts ? rest : next, entries: [] }, unchanged: {}, partial: {}, hasSameAccounts
  }
  for (const entry of next.entries) {
    const baseEntry = baseEntries.get(entry.service)
    const baseRoutes = baseEntry?.document?.routes
    if (baseEntry === entry) {
      change.unchanged[entry.service] = entry.version
    } else if (baseEntry === undefined || baseRoutes === undefined || entry.document === undefined) {
      change.next.entries.push(entry)
    } else {
      const { routes } = entry.document
      const removedRoutes = Object.keys(baseRoutes).filter(name => routes[name] === undefined)
      change.partial[entry.service] = { version: baseEntry.version, removedRoutes }
      change.next.entries.push({ ...entry, document: { ...entry.document, routes: selectChanged(baseRoutes, routes) } })
    }
  }
  return change
}

/** Returns undefined if `base` is not the configuration from which the change was derived. */
export function applyChange (base: Configuration, { next, unchanged, partial, hasSameAccounts }: ConfigurationChange): Configuration | undefined {
  const baseEntries = makeEntryMap(base)
  const entries: Entry[] = []
  for (const [service, version] of Object.entries(unchanged)) {
    const baseEntry = baseEntries.get(service)
    if (baseEntry?.version !== version) return undefined
    entries.push(baseEntry)
  }
  for (const entry of next.entries) {
    const part = partial[entry.service]
    const baseEntry = baseEntries.get(entry.service)
    if (part !== undefined && baseEntry?.version !== part.version) return undefined
    entries.push(part === undefined ? entry : mergeRoutes(entry, baseEntry?.document?.routes ?? {}, part.removedRoutes))
  }
  return { ...next, entries, ...hasSameAccounts === true && base.accounts !== undefined ? { accounts: base.accounts } : {} }
}

function mergeRoutes (entry: Entry, baseRoutes: Routes, removedRoutes: readonly string[]): Entry {
  if (entry.document === undefined) return entry
  const routes = { ...baseRoutes, ...entry.document.routes }
  for (const name of removedRoutes) Reflect.deleteProperty(routes, name)
  return { ...entry, document: { ...entry.document, routes } }
}

function selectChanged (base: Routes, next: Routes): Routes {
  const changed: Routes = {}
  for (const name in next) {
    const route = next[name]
    if (route !== undefined && base[name] !== route) changed[name] = route
  }
  return changed
}

function makeEntryMap ({ entries }: Configuration): Map<string, Entry> {
  return new Map(entries.map(entry => [entry.service, entry]))
}
