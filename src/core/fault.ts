/**
 * Errors as data. A fault has a code for programs, a message for people and, when it concerns a
 * value, the path to that value with the expected and the found value.
 */
import * as z from 'zod'

export const faultSchema = z.object({
  code: z.string(),
  message: z.string(),
  path: z.array(z.union([z.string(), z.number()])).default([]),
  expected: z.string().optional(),
  found: z.string().optional(),
  version: z.number().optional(),
  /** The id of the edit that the fault concerns. */
  editId: z.string().optional()
})
export type Fault = z.infer<typeof faultSchema>

export type FaultDetail = Partial<Omit<Fault, 'code' | 'message'>>

export function makeFault (code: string, message: string, detail: FaultDetail = {}): Fault {
  return { code, message, path: [], ...detail }
}

/** Formats a path as `routes.confirm.deadlineMs`; the document itself is `(document)`. */
export function formatPath (path: Fault['path']): string {
  return path.length === 0 ? '(document)' : path.join('.')
}

/** Formats a fault as one line: path, message, and the expected and the found value. */
export function formatFault (fault: Fault): string {
  const detail = fault.expected === undefined ? '' : ` (expected ${fault.expected}, found ${fault.found ?? 'nothing'})`
  const place = fault.path.length === 0 ? '' : `${formatPath(fault.path)}: `
  return `${place}${fault.message}${detail}`
}

export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
