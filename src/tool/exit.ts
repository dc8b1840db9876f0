/**
 * Exit codes of the operator's tool.
 */
export const EXIT = {
  ok: 0,
  /** The document or the request was rejected. Nothing changed. */
  invalid: 1,
  /** A flag or setting is wrong. */
  usage: 2,
  /** A concurrent edit was accepted first. Nothing changed. */
  conflict: 3,
  /** The platform, a node or a region did not respond. Nothing changed. */
  unreachable: 4,
  /** The edit may have been accepted; `get --edit` reports the outcome. */
  unknown: 5,
  /** The service, version or edit does not exist. */
  missing: 6,
  /** The tool itself failed. Its earlier writes may have been accepted; the platform has the current state. */
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

/** A fault with any other code means that the document or the request was rejected. */
export function findExitCode (faultCode: string): number {
  return EXIT_CODE_BY_FAULT[faultCode] ?? EXIT.invalid
}
