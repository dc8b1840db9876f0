/**
 * A signal that ends with another one or after a time. `AbortSignal.any` with `AbortSignal.timeout` does
 * not serve: in Node.js 20 the time-out can be collected as garbage, and the signal then never aborts.
 */
export function deriveDeadline (parent: AbortSignal, ms: number): AbortSignal {
  const controller = new AbortController()
  const timer = setTimeout(() => { controller.abort(new DOMException('the deadline passed', 'TimeoutError')) }, ms)
  const end = (): void => {
    clearTimeout(timer)
    controller.abort(parent.reason)
  }
  if (parent.aborted) end()
  else parent.addEventListener('abort', end, { once: true, signal: controller.signal })
  return controller.signal
}
