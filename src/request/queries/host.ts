/**
 * Finds routes that callers reach by the name in `Host`. The index is built once for each set of entries in force.
 */
import type { Route } from '../../document/index.js'
import type { Entry, EntryMap } from '../../snapshot/index.js'
import type { Call } from '../schema.js'
import { matchesRoute } from './match.js'

export interface HostRoute { entry: Entry, name: string, route: Route }

/** Routes of one `Host` name by their path. */
type PathIndex = Map<string, HostRoute[]>

const indexes = new WeakMap<EntryMap, Map<string, PathIndex>>()

/** Returns the matching route with the longest path. */
export function findHostRoute (entries: EntryMap, host: string, call: Pick<Call, 'path' | 'method'>): HostRoute | undefined {
  const paths = getIndex(entries).get(host)
  if (paths === undefined) return undefined
  const path = call.path.split('?')[0] ?? '/'
  for (let end = path.length; end > 0; end = path.lastIndexOf('/', end - 1)) {
    const found = findMatch(paths.get(path.slice(0, end)), path, call.method)
    if (found !== undefined) return found
  }
  return findMatch(paths.get('/'), path, call.method)
}

function findMatch (routes: readonly HostRoute[] | undefined, path: string, method: string): HostRoute | undefined {
  return routes?.find(({ route }) => matchesRoute(route, path) && route.methods.some(allowed => allowed === method))
}

function getIndex (entries: EntryMap): Map<string, PathIndex> {
  const existing = indexes.get(entries)
  if (existing !== undefined) return existing
  const index = new Map<string, PathIndex>()
  for (const entry of entries.values()) {
    for (const [name, route] of Object.entries(entry.document?.routes ?? {})) pushRoute(index, { entry, name, route })
  }
  indexes.set(entries, index)
  return index
}

function pushRoute (index: Map<string, PathIndex>, hostRoute: HostRoute): void {
  const { host, path } = hostRoute.route
  if (host === undefined) return
  const paths = index.get(host) ?? new Map<string, HostRoute[]>()
  index.set(host, paths)
  paths.set(path, [...paths.get(path) ?? [], hostRoute])
}
