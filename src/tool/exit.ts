/**
 * Exit codes of the operator's tool.
 */
export const EXIT = {
  ok: 0,
  /** The document or the request is refused; nothing changed. */
  invalid: 1,
  /** Wrong flags or settings. */
  usage: 2,
  /** Another edit won; nothing changed. */
  conflict: 3,
  /** The platform, a node or a region did not answer; nothing changed. */
  unreachable: 4,
  /** The edit may have been accepted; ask again with `get --edit`. */
  unknown: 5,
  /** There is no such service, version or edit. */
  missing: 6,
  /** The tool itself failed; ask the platform what it wrote before. */
  internal: 7
} as const

const EXIT_CODE_BY_FAULT: Readonly<Record<string, number>> = {
  usage: EXIT.usage,
  conflict: EXIT.conflict,
  contention: EXIT.conflict,
  unreachable: EXIT.unreachable,
  throttled: EXIT.unreachable,
  unknown: EXIT.unknown,
  missing: EXIT.missing
}

/** Faults of any other code are refusals. */
export function findExitCode (faultCode: string): number {
  return EXIT_CODE_BY_FAULT[faultCode] ?? EXIT.invalid
}
