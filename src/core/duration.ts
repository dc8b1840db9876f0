/**
 * Durations in settings: text with a unit, such as `250ms` or `1.5s`.
 */
import * as z from 'zod'

const DURATION = /^(-?[0-9]+(?:\.[0-9]+)?)(ms|s)$/
const MS_PER_S = 1_000

/** Returns milliseconds, or undefined when the text is not a number with a unit. */
export function parseDuration (text: string): number | undefined {
  const match = DURATION.exec(text)
  if (match === null) return undefined
  return Number(match[1]) * (match[2] === 's' ? MS_PER_S : 1)
}

/** Parses text such as `250ms` into milliseconds. Rejects negative durations. */
export const durationSchema = z.string().transform((text, context) => {
  const ms = parseDuration(text)
  if (ms !== undefined && ms >= 0) return ms
  context.addIssue({ code: 'custom', message: 'must be a length of time such as 250ms or 1.5s' })
  return z.NEVER
})
