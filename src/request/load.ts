/**
 * The load of a target, as the node of its host reports it in a header of each response.
 */

/** `freeInMs`: the expected wait for a slot, in milliseconds, of an average request that arrives now. */
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
