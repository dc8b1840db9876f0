/**
 * Compares the path of a request with the path of a route.
 */
import type { Route } from '../../document/index.js'

/** A path matches itself and the paths below it; `below` excludes the path itself. */
export function matchesRoute ({ path: prefix, below }: Route, path: string): boolean {
  if (below === true && path === prefix && prefix !== '/') return false
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}
