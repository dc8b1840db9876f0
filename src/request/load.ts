/**
 * The load of a target, as the node of its host reports it in a header of each response.
 */

export interface TargetLoad {
  used: number
  waiting: number
  slots: number
  /** The expected wait for a slot, in milliseconds, of an average request that arrives now. */
  freeInMs: number
  /** The time for which the request of this response used its slot. Absent if it is not known, or if nothing is decided by it. */
  serviceMs?: number
  /** The figure that the machine of the target reported, in percent of its usual time. */
  machinePercent?: number
}

const LOAD_HEADER_FORMAT = /^([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,9})(?:,([0-9]{0,9}),([0-9]{0,6}))?$/

export function formatLoad ({ used, waiting, slots, freeInMs, serviceMs, machinePercent }: TargetLoad): string {
  const load = `${used},${waiting},${slots},${Math.round(freeInMs)}`
  if (serviceMs === undefined && machinePercent === undefined) return load
  return `${load},${formatOptional(serviceMs)},${formatOptional(machinePercent)}`
}

export function parseLoad (text: unknown): TargetLoad | undefined {
  const match = typeof text === 'string' ? LOAD_HEADER_FORMAT.exec(text) : null
  if (match === null) return undefined
  const [used, waiting, slots, freeInMs] = match.slice(1, 5).map(Number) as [number, number, number, number]
  const [serviceMs = '', machinePercent = ''] = match.slice(5)
  return {
    used,
    waiting,
    slots,
    freeInMs,
    ...serviceMs === '' ? {} : { serviceMs: Number(serviceMs) },
    ...machinePercent === '' ? {} : { machinePercent: Number(machinePercent) }
  }
}

function formatOptional (value: number | undefined): string {
  return value === undefined ? '' : String(Math.round(value))
}
