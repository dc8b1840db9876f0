/**
 * What a target does besides echoing: calls of the next target, and work of a bounded capacity.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { HEADERS } from '../../src/request/index.js'

export interface NextTarget {
  service: string
  /** Caller port of the target's own node. */
  caller: string
  /** The next target itself, for runs without nodes. */
  address: string
}

const agent = new Agent({ connections: 256, pipelining: 1 })

/** `/chain/DEPTH/node` calls the next target through the own node, `/chain/DEPTH/direct` by its address. */
export async function callNext (next: NextTarget, path: string): Promise<number> {
  const [depth = 1, way = 'node'] = path.split('/').slice(2)
  if (Number(depth) <= 1) return 200
  const origin = `http://${way === 'node' ? next.caller : next.address}`
  const answer = await request(`${origin}/chain/${Number(depth) - 1}/${way}`, { dispatcher: agent, headers: { [HEADERS.service]: next.service } })
  await answer.body.dump()
  return answer.statusCode
}

/** So many workers and a queue without a bound. Accepts cancellation: what nobody waits for any more is not begun. */
export class Workers {
  private idle: number
  private readonly waiting: Array<{ isGone: () => boolean, begin: () => void }> = []

  constructor (count: number) {
    this.idle = count
  }

  async run (ms: number, isGone: () => boolean): Promise<void> {
    if (this.idle > 0) this.idle -= 1
    else await new Promise<void>(resolve => { this.waiting.push({ isGone, begin: resolve }) })
    await delay(ms)
    this.serveNext()
  }

  private serveNext (): void {
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (next.isGone()) continue
      next.begin()
      return
    }
    this.idle += 1
  }
}
