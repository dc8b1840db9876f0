/**
 * What the node of a target's host says of the target's load, in a header of each of its answers.
 */

/** `freeInMs`: how long a request of the usual kind that came now would wait for a slot. */
export interface TargetLoad { used: number, waiting: number, slots: number, freeInMs: number }

const LOAD_HEADER_FORMAT = /^([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,9})$/

export function formatLoad ({ used, waiting, slots, freeInMs }: TargetLoad): string {
  return `${used},${waiting},${slots},${Math.round(freeInMs)}`
}

export function parseLoad (text: unknown): TargetLoad | undefined {
  const match = typeof text === 'string' ? LOAD_HEADER_FORMAT.exec(text) : null
  if (match === null) return undefined
  const [used, waiting, slots, freeInMs] = match.slice(1).map(Number) as [number, number, number, number]
  return { used, waiting, slots, freeInMs }
}
