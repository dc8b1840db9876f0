/**
 * The admin port: health, readiness and metrics.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatProcessMetrics } from '../../metrics/index.js'
import type { Metrics } from '../../metrics/index.js'
import { writeJson } from '../http.js'
import type { NodeState } from '../state.js'

/** `countInFlight` returns the number of requests that this node serves as caller-side and target-side node. */
export interface AdminContext { state: NodeState, metrics: Metrics, countInFlight: () => number }

export async function serveAdmin (context: AdminContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const { state, metrics, countInFlight } = context
  switch (message.url) {
    case '/healthz':
      writeJson(response, 200, { status: 'ok' })
      return
    case '/readyz':
      writeJson(response, state.isReady && !state.localHost.isLeaving ? 200 : 503, {
        ready: state.isReady,
        leaving: state.localHost.isLeaving,
        inFlight: countInFlight(),
        version: state.version,
        source: state.hasSource
      })
      return
    case '/metrics':
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
      response.end(metrics.formatText() + formatProcessMetrics())
      return
    default:
      writeJson(response, 404, { message: 'try /healthz, /readyz or /metrics' })
  }
}
