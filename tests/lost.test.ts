/**
 * Marks on hosts that went away. Guards against marks on hosts that came back, on hosts of other
 * zones and by a node that stops itself, and against removal by a node that is not the zone's relay
 * or is cut off.
 */
import { describe, expect, test } from '@jest/globals'
import { createLogger } from '../src/core/index.js'
import { LOST_AFTER_MS, REMOVE_AFTER_MS } from '../src/membership/index.js'
import { pruneMembers } from '../src/node/tasks/members.js'
import { awaitReturn } from '../src/peer/index.js'
import { EventRing, HybridClock, Recorder } from '../src/timeline/index.js'
import { makeClock } from './fixtures/clock.js'
import type { ManualClock } from './fixtures/clock.js'
import { exchangeRecords, makeMember, settleTasks } from './fixtures/member.js'
import type { Member } from './fixtures/member.js'

const PRUNE_INTERVAL_MS = 10_000

interface Pair { clock: ManualClock, parent: Member, child: Member, stop: () => void }

function makePair (childZone: string): Pair {
  const clock = makeClock()
  const parent = makeMember({ host: 'parent', zone: 'a', incarnation: 1, clock })
  const child = makeMember({ host: 'child', zone: childZone, incarnation: 1, clock })
  child.announce('ready')
  exchangeRecords(child, parent)
  const stop = (): void => { for (const member of [parent, child]) member.stop() }
  return { clock, parent, child, stop }
}

async function loseChild ({ clock, parent }: Pair, isBack = false, signal = new AbortController().signal): Promise<boolean | undefined> {
  const waiting = awaitReturn({ receiver: parent.receiver, isBack: () => isBack, log: createLogger('peer', 'silent'), signal }, 'child')
  await settleTasks()
  clock.advance(LOST_AFTER_MS)
  await waiting
  return parent.replica.members.get('child')?.lost
}

/** Lets the pruning task of the parent run until after the child was lost for long. */
async function prune ({ clock, parent }: Pair, signal: AbortSignal): Promise<void> {
  const recorder = new Recorder(new EventRing(), new HybridClock(clock), 'parent', 'a')
  void pruneMembers({ receiver: parent.receiver, clock, recorder, log: createLogger('member', 'silent') }, signal)
  for (const ms of [REMOVE_AFTER_MS, PRUNE_INTERVAL_MS]) {
    await settleTasks()
    clock.advance(ms)
  }
  await settleTasks()
}

describe('lost hosts', () => {
  test.each([
    ['of the own zone that stays away is marked', 'a', false, true],
    ['that came back is not marked', 'a', true, false],
    ['of another zone is not marked', 'b', false, false]
  ])('a host %s', async (_name, zone, isBack, lost) => {
    const pair = makePair(zone)
    expect(await loseChild(pair, isBack)).toBe(lost)
    pair.stop()
  })

  test('a node that stops marks nothing', async () => {
    const pair = makePair('a')
    expect(await loseChild(pair, false, AbortSignal.abort())).toBe(false)
    pair.stop()
  })

  test('a host that announced something after its stream ended is not marked', async () => {
    const pair = makePair('a')
    const losing = loseChild(pair)
    pair.child.announce('leaving')
    exchangeRecords(pair.child, pair.parent)
    expect(await losing).toBe(false)
    pair.stop()
  })

  test.each([
    ['the relay of its zone with an upstream', 'relay-a', 'up', false],
    ['the relay of its zone without an upstream', 'relay-a', '', true],
    ['another node of its zone', '', 'up', true]
  ])('%s removes a host that was lost for long, or keeps it', async (_name, duty, upstream, kept) => {
    const pair = makePair('a')
    const { replica } = pair.parent
    await loseChild(pair)
    if (duty !== '') replica.duties.add(duty)
    replica.place = { ...replica.place, upstream }
    const stopped = new AbortController()
    await prune(pair, stopped.signal)
    expect(replica.members.get('child') !== undefined).toBe(kept)
    stopped.abort()
    pair.stop()
  })
})
