/**
 * Admission and the watch on an upstream, where the proofs over a fleet rarely get: a node that
 * subscribes again before its old stream ended, fan-out and its redirections, and standing ticks.
 */
import { describe, expect, test } from '@jest/globals'
import { SubscriberRegistry } from '../src/peer/index.js'
import type { Replica, Session } from '../src/peer/index.js'
import { SilenceWatch } from '../src/peer/silence.js'
import { makeClock } from './fixtures/clock.js'
import { makeReceiver } from './fixtures/receiver.js'

function makeRooted (): Replica {
  const { replica } = makeReceiver('root')
  replica.ready = true
  replica.moveTo({ path: ['root'], pathPeers: ['127.0.0.1:1'], tick: 1, sourceUp: true, candidates: [], upstream: 'platform' })
  return replica
}

function makeSession (node: string, zone: string, duties: string[] = []): Session & { ended: boolean } {
  const session = {
    hello: { type: 'hello' as const, node, zone, region: 'a', peer: `${node}:1`, duties, vector: {}, members: {} },
    ended: false,
    end: () => { session.ended = true }
  }
  return session
}

describe('admission', () => {
  test('the end of a replaced stream does not remove the newer one', () => {
    const registry = new SubscriberRegistry({ fanOut: 2, perSecond: 20 }, makeClock())
    const [old, newer] = [makeSession('n1', 'a1'), makeSession('n1', 'a1')]
    expect(registry.admit(makeRooted(), old)).toBeUndefined()
    expect(registry.admit(makeRooted(), newer)).toBeUndefined()
    expect(old.ended).toBe(true)
    expect(registry.release(old)).toBe(false)
    expect(registry.isCurrent(newer)).toBe(true)
    expect(registry.size).toBe(1)
  })

  test('a full publisher redirects within the zone, and takes holders of a duty all the same', () => {
    const registry = new SubscriberRegistry({ fanOut: 2, perSecond: 20 }, makeClock())
    registry.admit(makeRooted(), makeSession('n1', 'a1'))
    registry.admit(makeRooted(), makeSession('n2', 'a2', ['relay-a2']))
    expect(registry.admit(makeRooted(), makeSession('n3', 'a1'))).toEqual({ type: 'redirect', peers: ['n1:1'] })
    expect(registry.admit(makeRooted(), makeSession('n4', 'b1', ['relay-b1']))).toBeUndefined()
  })

  test('a herd is spread: above the rate subscribers are told to come back', () => {
    const clock = makeClock()
    const registry = new SubscriberRegistry({ fanOut: 100, perSecond: 20 }, clock)
    const answers = Array.from({ length: 25 }, (_, index) => registry.admit(makeRooted(), makeSession(`n${index}`, 'a1')))
    expect(answers.filter(answer => answer?.type === 'retry')).toHaveLength(5)
    clock.advance(1_000)
    expect(registry.admit(makeRooted(), makeSession('n24', 'a1'))).toBeUndefined()
  })

  test('a node that has lost its upstream, or is below the subscriber, takes nobody', () => {
    const registry = new SubscriberRegistry({ fanOut: 2, perSecond: 20 }, makeClock())
    const replica = makeRooted()
    expect(registry.admit(replica, makeSession('root', 'a1'))?.type).toBe('retry')
    replica.moveTo({ ...replica.place, upstream: '' })
    expect(registry.admit(replica, makeSession('n1', 'a1'))?.type).toBe('retry')
  })
})

describe('the watch on an upstream', () => {
  function passSixSeconds (tick: (second: number) => number, sourceUp: boolean): string {
    const clock = makeClock()
    const watch = new SilenceWatch(clock)
    for (let step = 0; step < 24; step += 1) {
      clock.advance(250)
      watch.noteMessage()
      watch.noteTick(tick(Math.floor(step / 4)), sourceUp)
      const end = watch.check('up:1', true)
      if (end !== undefined) return end.reason
    }
    return 'alive'
  }

  test.each([
    ['a standing tick while the source answers', (): number => 7, true, 'stalled'],
    ['a standing tick while the source is down', (): number => 7, false, 'alive'],
    ['a moving tick', (second: number): number => second, true, 'alive']
  ])('%s', (_name, tick, sourceUp, expected) => {
    expect(passSixSeconds(tick, sourceUp)).toBe(expected)
  })

  test('a pause of this process is not taken for silence of the upstream', () => {
    const clock = makeClock()
    const watch = new SilenceWatch(clock)
    clock.advance(10_000)
    expect(watch.check('up:1', true)).toBeUndefined()
    for (let step = 0; step < 6; step += 1) {
      clock.advance(250)
      expect(watch.check('up:1', true)).toBeUndefined()
    }
    clock.advance(250)
    expect(watch.check('up:1', true)?.reason).toBe('silent')
  })
})
