/**
 * Documents for measurements: about 5.6 KB of JSON with 40 routes, as the larger ones of today.
 */
import { documentSchema } from '../../src/document/index.js'
import type { Document } from '../../src/document/index.js'

const ROUTES = 40

/** Two documents with different `edit` differ in one number. */
export function makeBenchDocument (service: string, edit: number): Document {
  const routes = Array.from({ length: ROUTES }, (_, index) => [`route-${index}`, {
    methods: ['GET'], path: `/path-${index}`, kind: 'idempotent', deadlineMs: index === 0 ? 1_000 + edit : 1_000
  }])
  return documentSchema.parse({ service, routes: Object.fromEntries(routes) })
}
