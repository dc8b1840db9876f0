/**
 * Finds the host in the id of a target, which is `HOST/TARGET`.
 */
export function findHost (target: string): string {
  return target.slice(0, target.indexOf('/'))
}
