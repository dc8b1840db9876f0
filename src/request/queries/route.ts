/**
 * Which route of which document a call takes, and which targets may serve it. One snapshot answers both.
 */
import { Err, Ok, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result } from '../../core/index.js'
import type { Destination, Document, Route } from '../../document/index.js'
import type { Target } from '../../membership/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { Call } from '../schema.js'
import { findHostRoute } from './host.js'

export interface ResolvedRoute { document: Document, version: number, name: string, route: Route, service: string, targets: readonly Target[] }

export function resolveRoute (snapshot: Snapshot, call: Call, random: Random): Result<ResolvedRoute, Failure> {
  const named = call.host === undefined ? undefined : findHostRoute(snapshot.entries, call.host, call)
  if (call.host !== undefined && named === undefined) return Err(makeFailure('not-run', 404, 'no_route', `no route for ${call.host}${call.path}`))
  const entry = named?.entry ?? snapshot.entries.get(call.service)
  const document = entry?.document
  if (entry === undefined || document === undefined) return Err(makeFailure('not-run', 404, 'no_service', `no service ${call.service}`))
  if (document.callers !== undefined && !document.callers.includes(call.caller ?? '')) {
    return Err(makeFailure('not-run', 403, 'caller_refused', `${call.service} does not let ${call.caller ?? 'unnamed callers'} in`))
  }
  const found = named === undefined ? findRoute(document, call) : [named.name, named.route] as const
  if (found === undefined) return Err(makeFailure('not-run', 404, 'no_route', `${call.service} has no route for ${call.method} ${call.path}`))
  const [name, route] = found
  if ((call.bodyBytes ?? 0) > route.maxBodyBytes) {
    return Err(makeFailure('not-run', 413, 'body_too_large', `body above ${route.maxBodyBytes} bytes`))
  }
  const destination = pickDestination(route, random)
  const service = destination?.service ?? document.service
  const targets = selectByLabels(snapshot.targets.get(service) ?? [], destination?.labels)
  return Ok({ document, version: entry.version, name, route, service, targets })
}

type Labels = Destination['labels']

/** Lists and documents are replaced, never changed: the same two give the same list, which the picker knows again. */
const selections = new WeakMap<readonly Target[], WeakMap<Labels, readonly Target[]>>()

function selectByLabels (all: readonly Target[], labels: Labels = {}): readonly Target[] {
  const wanted = Object.entries(labels)
  if (wanted.length === 0) return all
  const held = selections.get(all) ?? new WeakMap<Labels, readonly Target[]>()
  selections.set(all, held)
  const known = held.get(labels)
  if (known !== undefined) return known
  const selected = all.filter(target => wanted.every(([label, value]) => target.labels[label] === value))
  held.set(labels, selected)
  return selected
}

/** The longest path that matches whole segments wins. */
function findRoute (document: Document, call: Call): [string, Route] | undefined {
  const path = call.path.split('?')[0] ?? '/'
  let best: [string, Route] | undefined
  for (const [name, route] of Object.entries(document.routes)) {
    if (route.host !== undefined || !route.methods.some(method => method === call.method) || !matchesRoute(route, path)) continue
    if (best === undefined || route.path.length > best[1].path.length) best = [name, route]
  }
  return best
}

export function matchesRoute ({ path: prefix, below }: Route, path: string): boolean {
  if (below === true && path === prefix && prefix !== '/') return false
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

/** Nothing when the route names no destination: its own service serves it. */
function pickDestination (route: Route, random: Random): Destination | undefined {
  const destinations = Object.entries(route.to)
  const total = destinations.reduce((sum, [, one]) => sum + one.weight, 0)
  let left = random.next() * total
  for (const [name, one] of destinations) {
    left -= one.weight
    if (left < 0) return { ...one, service: one.service ?? name }
  }
  return undefined
}
