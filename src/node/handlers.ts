/**
 * The handlers of the peer port: exchanges with peers, and queries and commands of operators.
 */
import type { DrainRequest, DrainResponse, PeerHandlers } from '../peer/index.js'
import type { QuotaService } from '../quota/index.js'
import { explainRequest, matchesSecret } from '../request/index.js'
import type { ExplainContext } from '../request/index.js'
import { filterEvents } from '../timeline/index.js'
import { makeStatus } from './queries/status.js'
import type { NodeRollouts } from './rollouts.js'
import type { NodeState } from './state.js'
import type { PeerSynchronizer } from './tasks/peers.js'
import type { NodeTelemetry } from './telemetry.js'

export interface HandlerContext {
  state: NodeState
  telemetry: NodeTelemetry
  peers: PeerSynchronizer
  quota: QuotaService | undefined
  /** Absent where there are no rollouts. */
  rollouts: NodeRollouts | undefined
  caller: ExplainContext
  /** The secret that operators' commands must carry, if there is one. */
  operatorToken: string | undefined
  startLeaving: () => void
}

export function makePeerHandlers (context: HandlerContext): PeerHandlers {
  const { state, telemetry, peers, quota, rollouts, caller } = context
  return {
    exchange: request => {
      telemetry.recordExchange(request.host)
      quota?.recordContact(request.host)
      return peers.respond(request)
    },
    report: report => rollouts?.receiveReport(report) ?? {},
    status: () => makeStatus(state),
    timeline: ({ filter }) => ({ events: filterEvents(telemetry.eventRing.list(), filter) }),
    // The request has the hash of a key, so it is not logged.
    explain: request => ({ node: state.identity.host, zone: state.identity.zone, version: state.version, ...explainRequest(caller, request) }),
    drain: request => acceptDrain(context, request),
    ...quota === undefined ? {} : { lend: async request => await quota.lend(request) }
  }
}

function acceptDrain ({ state, operatorToken, startLeaving }: HandlerContext, { token }: DrainRequest): DrainResponse {
  if (operatorToken !== undefined && !matchesSecret(token, operatorToken)) return { accepted: false, message: 'wrong or missing operator token' }
  startLeaving()
  return { accepted: true, message: `${state.identity.host} gets no new work` }
}
