/**
 * Behavior of a target beyond echoing requests: calls to the next target in a chain, and work on a limited number of workers.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { HEADERS } from '../../src/request/index.js'

export interface NextTarget {
  service: string
  /** Caller port of the node on the target's host. */
  caller: string
  /** Address of the next target, for runs without nodes. */
  address: string
}

const agent = new Agent({ connections: 256, pipelining: 1 })

/** `/chain/DEPTH/node` calls the next target through the local node, `/chain/DEPTH/direct` calls it at its address. */
export async function callNextTarget (next: NextTarget, path: string): Promise<number> {
  const [depth = 1, via = 'node'] = path.split('/').slice(2)
  if (Number(depth) <= 1) return 200
  const origin = `http://${via === 'node' ? next.caller : next.address}`
  const response = await request(`${origin}/chain/${Number(depth) - 1}/${via}`, { dispatcher: agent, headers: { [HEADERS.service]: next.service } })
  await response.body.dump()
  return response.statusCode
}

/** A fixed number of workers and an unbounded queue. A queued request that was cancelled is not started. */
export class WorkerPool {
  private idleWorkers: number
  private readonly queue: Array<{ isCancelled: () => boolean, start: () => void }> = []

  constructor (count: number) {
    this.idleWorkers = count
  }

  async run (durationMs: number, isCancelled: () => boolean): Promise<void> {
    if (this.idleWorkers > 0) this.idleWorkers -= 1
    else await new Promise<void>(resolve => { this.queue.push({ isCancelled, start: resolve }) })
    await delay(durationMs)
    this.startNext()
  }

  private startNext (): void {
    for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
      if (next.isCancelled()) continue
      next.start()
      return
    }
    this.idleWorkers += 1
  }
}
