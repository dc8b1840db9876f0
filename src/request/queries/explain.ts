/**
 * Explains what this node would do now with a request, by the decisions of the request path. Sends nothing and changes nothing.
 */
import { IncomingMessage } from 'node:http'
import { Socket } from 'node:net'
import { Err, makeFailure, Ok } from '../../core/index.js'
import type { Failure, Result } from '../../core/index.js'
import type { Account } from '../../account/index.js'
import type { Target } from '../../membership/index.js'
import { SuspectCall } from '../commands/suspect.js'
import type { ExplainedAction, ExplainRequest, ExplainResponse, ExplanationSection } from '../explanation.js'
import type { TargetRating } from '../picker.js'
import type { Call } from '../schema.js'
import { getTargetName } from '../tasks/attempt.js'
import type { CallerContext } from '../tasks/caller.js'
import { checkShutdown, computeDeadline, decideAccess, decideRoute, getAccountTable, makeNoTargetFailure } from './decision.js'
import type { ResolvedRoute } from './route.js'

/** What parts of the path that only some deployments have say about a request. They send nothing and change nothing, too. */
export interface ExplainContext extends CallerContext {
  explainQuota?: (account: Account) => ExplanationSection
  explainRollout?: (service: string) => ExplanationSection
}

type Explained = Omit<ExplainResponse, 'node' | 'zone' | 'version'>

const NONE_TRIED: ReadonlySet<string> = new Set()

export function explainRequest (context: ExplainContext, request: ExplainRequest): Explained {
  const call = makeCall(context, request)
  if (call.err) return { action: makeRefusal(call.val) }
  const resolved = decideRoute(context, call.val)
  if (resolved.err) return { action: makeRefusal(resolved.val) }
  return { ...describeRoute(resolved.val, call.val), ...explainCall(context, call.val, resolved.val) }
}

function explainCall (context: ExplainContext, call: Call, resolved: ResolvedRoute): Explained {
  const { route, service } = resolved
  const stopping = checkShutdown(context, computeDeadline(route, call))
  if (stopping !== undefined) return { action: makeRefusal(stopping) }
  const authorized = decideAccess(context, getAccountTable(context), call, route)
  if (authorized.err) return { action: makeRefusal(authorized.val) }
  const account = authorized.val
  const quota = account === undefined ? undefined : context.explainQuota?.(account)
  const rollout = context.explainRollout?.(service)
  const ratings = explainTargets(context, call, resolved)
  return {
    ...account === undefined ? {} : { account: { name: account.name, ...account.class === undefined ? {} : { class: account.class } } },
    ...quota === undefined ? {} : { quota },
    ...rollout === undefined ? {} : { rollout },
    ...ratings === undefined ? {} : { candidates: ratings.map(describeRating) },
    action: decideAction(context, call, resolved, ratings)
  }
}

/** The body is not known, so only a request without one can be found among those that crash targets. */
function decideAction (
  context: ExplainContext, call: Call, { service, targets }: ResolvedRoute, ratings: readonly TargetRating[] | undefined
): ExplainedAction {
  const blocked = new SuspectCall(context.suspects, call, undefined).reject()
  if (blocked !== undefined) return makeRefusal(blocked)
  const picked = ratings?.filter(({ isCandidate }) => isCandidate)
  const ids = picked?.map(({ target }) => target.id) ?? targets.map(({ id }) => id)
  if (ids.length === 0) return makeRefusal(makeNoTargetFailure(service))
  return { kind: 'send', targets: ids, waitMs: Math.round(picked?.[0]?.parts.queueMs ?? 0) }
}

function explainTargets (
  { picker, inbound }: ExplainContext, call: Call, { targets, document: { zones } }: ResolvedRoute
): TargetRating[] | undefined {
  return picker.explain({
    targets,
    tried: NONE_TRIED,
    needsFreeSlot: false,
    zones,
    bytes: call.bodyBytes ?? 0,
    measureLocalLoad: (target: Target) => inbound.local.measureLoad(getTargetName(target))
  })
}

function describeRoute ({ document, version, name, route, service }: ResolvedRoute, call: Call): Pick<Explained, 'route' | 'service'> {
  const { kind, class: routeClass } = route
  return { route: { document: document.service, version, name, kind, class: routeClass, deadlineMs: computeDeadline(route, call) }, service }
}

function describeRating ({ target: { id, zone, region }, state, delayMs, parts, isCandidate }: TargetRating): NonNullable<Explained['candidates']>[number] {
  return { target: id, zone, region, state, delayMs, parts, isCandidate }
}

function makeRefusal (failure: Failure): ExplainedAction {
  return { kind: 'refuse', failure }
}

/** Reads the call from the head that the request would have, so that it is read and checked as on the request path. */
function makeCall ({ inbound }: ExplainContext, { method, path, host, bodyBytes, keyHash, deadlineMs }: ExplainRequest): Result<Call, Failure> {
  const message = new IncomingMessage(new Socket())
  const headers: Record<string, string> = { host, ...bodyBytes === 0 ? {} : { 'content-length': String(bodyBytes) } }
  Object.assign(message, { method, url: path, headers, rawHeaders: Object.entries(headers).flat(), httpVersion: '1.1' })
  if (!path.startsWith('/')) return Err(makeFailure('not-run', 400, 'bad_path', 'the path does not begin with /'))
  const call = inbound.adapter.readCall(message)
  if (call.err) return call
  return Ok({
    ...call.val,
    ...deadlineMs === undefined ? {} : { deadlineMs },
    ...keyHash === undefined ? {} : { credential: { kind: 'key' as const, hash: keyHash } }
  })
}
