/**
 * Makes documents for the benchmarks: 40 routes, about 5.6 KB of JSON, the size of the larger documents in use today.
 */
import { documentSchema } from '../../src/document/index.js'
import type { Document } from '../../src/document/index.js'

const ROUTE_COUNT = 40

/** Documents with different edit numbers differ only in the deadline of the first route. */
export function makeBenchDocument (service: string, editNumber: number): Document {
  const routes = Array.from({ length: ROUTE_COUNT }, (_, index) => [`route-${index}`, {
    methods: ['GET'], path: `/path-${index}`, kind: 'idempotent', deadlineMs: index === 0 ? 1_000 + editNumber : 1_000
  }])
  return documentSchema.parse({ service, routes: Object.fromEntries(routes) })
}
