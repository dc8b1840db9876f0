/**
 * Exit codes of the operator's tool.
 */
export const EXIT = {
  ok: 0,
  /** The document or the request is invalid; nothing changed. */
  invalid: 1,
  /** Wrong flags or settings. */
  usage: 2,
  /** Another edit won; nothing changed. */
  conflict: 3,
  /** The platform or the node did not answer; nothing changed. */
  unreachable: 4,
  /** The edit may have been accepted; ask again with `get --edit`. */
  unknown: 5,
  /** There is no such object. */
  missing: 6
} as const

const BY_CODE: Readonly<Record<string, number>> = {
  conflict: EXIT.conflict,
  unreachable: EXIT.unreachable,
  throttled: EXIT.unreachable,
  unknown: EXIT.unknown,
  missing: EXIT.missing,
  usage: EXIT.usage
}

export function findExitCode (faultCode: string): number {
  return BY_CODE[faultCode] ?? EXIT.invalid
}
