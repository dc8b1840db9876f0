/**
 * Resolves the route and the document for a call, and the targets that may serve it, all from one snapshot.
 */
import { Err, Ok, getOrMake, makeFailure } from '../../core/index.js'
import type { Failure, Random, Result } from '../../core/index.js'
import type { Destination, Document, Route } from '../../document/index.js'
import type { Target } from '../../membership/index.js'
import type { Snapshot } from '../../snapshot/index.js'
import type { Call } from '../schema.js'
import { findHostRoute } from './host.js'
import { matchesRoute } from './match.js'

export interface ResolvedRoute { document: Document, version: number, name: string, route: Route, service: string, targets: readonly Target[] }

/** The route becomes available with a later version of the configuration. */
const UNAVAILABLE_RETRY_AFTER_MS = 1_000

export function resolveRoute (snapshot: Snapshot, call: Call, random: Random): Result<ResolvedRoute, Failure> {
  const hostRoute = call.host === undefined ? undefined : findHostRoute(snapshot.entries, call.host, call)
  if (call.host !== undefined && hostRoute === undefined) return Err(makeFailure('not-run', 404, 'no_route', `no route matches ${call.host}${call.path}`))
  const entry = hostRoute?.entry ?? snapshot.entries.get(call.service)
  const document = entry?.document
  if (entry === undefined || document === undefined) return Err(makeFailure('not-run', 404, 'no_service', `unknown service ${call.service}`))
  if (document.callers !== undefined && !document.callers.includes(call.caller ?? '')) {
    return Err(makeFailure('not-run', 403, 'caller_refused', `${call.service} does not allow calls from ${call.caller ?? 'unnamed callers'}`))
  }
  const found = hostRoute === undefined ? findRoute(document, call) : [hostRoute.name, hostRoute.route] as const
  if (found === undefined) return Err(makeFailure('not-run', 404, 'no_route', `${call.service} has no route for ${call.method} ${call.path}`))
  const [name, route] = found
  if (route.unavailable === true) return Err(makeFailure('not-run', 503, 'route_unavailable', `route ${name} is unavailable`, UNAVAILABLE_RETRY_AFTER_MS))
  if ((call.bodyBytes ?? 0) > route.maxBodyBytes) {
    return Err(makeFailure('not-run', 413, 'body_too_large', `the body exceeds ${route.maxBodyBytes} bytes`))
  }
  const destination = pickDestination(route, random)
  const service = destination?.service ?? document.service
  const targets = selectByLabels(snapshot.targets.get(service) ?? [], destination?.labels)
  return Ok({ document, version: entry.version, name, route, service, targets })
}

type Labels = Destination['labels']

/**
 * Selected targets by target list and labels. Lists and documents are replaced, never changed, so the same pair always yields the same
 * list object, by which the picker finds its cached data.
 */
const selections = new WeakMap<readonly Target[], WeakMap<Labels, readonly Target[]>>()

function selectByLabels (targets: readonly Target[], labels: Labels = {}): readonly Target[] {
  const required = Object.entries(labels)
  if (required.length === 0) return targets
  const byLabels = getOrMake(selections, targets, () => new WeakMap<Labels, readonly Target[]>())
  return getOrMake(byLabels, labels, () => targets.filter(target => required.every(([label, value]) => target.labels[label] === value)))
}

/** Returns the route with the longest path that matches whole segments. */
function findRoute (document: Document, call: Call): [string, Route] | undefined {
  const path = call.path.split('?')[0] ?? '/'
  let best: [string, Route] | undefined
  for (const [name, route] of Object.entries(document.routes)) {
    if (route.host !== undefined || !route.methods.some(method => method === call.method) || !matchesRoute(route, path)) continue
    if (best === undefined || route.path.length > best[1].path.length) best = [name, route]
  }
  return best
}

/** Returns undefined when the route names no destination; the service of its document serves it then. */
function pickDestination (route: Route, random: Random): Destination | undefined {
  const destinations = Object.entries(route.to)
  const totalWeight = destinations.reduce((sum, [, destination]) => sum + destination.weight, 0)
  let remaining = random.next() * totalWeight
  for (const [name, destination] of destinations) {
    remaining -= destination.weight
    if (remaining < 0) return { ...destination, service: destination.service ?? name }
  }
  return undefined
}
