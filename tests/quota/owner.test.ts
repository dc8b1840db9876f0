/**
 * Guards against nodes that select different owners from the same hosts, an owner that changes with hosts that have nothing to do with
 * it, and an uneven division of accounts.
 */
import { expect, test } from '@jest/globals'
import { OwnerDirectory } from '../../src/quota/directory.js'
import { selectOwner } from '../../src/quota/index.js'
import { SeededRandom } from '../../src/core/index.js'
import { makeRecord } from '../fixtures/records.js'

const HOSTS = Array.from({ length: 15 }, (_, index) => `host-${index}`)
const ACCOUNTS = Array.from({ length: 600 }, (_, index) => `account-${index}`)

test('owners are spread over the hosts, and a host that leaves moves only its own accounts', () => {
  const owners = ACCOUNTS.map(account => selectOwner(account, HOSTS)?.host)
  const counts = HOSTS.map(host => owners.filter(owner => owner === host).length)
  expect(Math.min(...counts)).toBeGreaterThan(20)
  expect(Math.max(...counts)).toBeLessThan(70)
  const rest = HOSTS.filter(host => host !== 'host-4').reverse()
  ACCOUNTS.forEach((account, index) => {
    if (owners[index] !== 'host-4') expect(selectOwner(account, rest)?.host).toBe(owners[index])
  })
})

test('the owners after any series of changes are those of the hosts at the end', () => {
  const random = new SeededRandom(7)
  const directory = new OwnerDirectory({ host: 'host-0', zone: 'a', region: 'r' }, new Map([['a', 'r'], ['b', 'r']]))
  const serving = new Set<string>()
  for (let step = 0; step < 300; step += 1) {
    const host = HOSTS[random.pickIndex(HOSTS.length)] ?? ''
    const isServing = random.next() < 0.6
    if (isServing) serving.add(host)
    else serving.delete(host)
    const change = isServing ? {} : random.next() < 0.5 ? { state: 'leaving' as const } : { gone: true as const }
    directory.update(makeRecord(host, change))
    const account = ACCOUNTS[step % 20] ?? ''
    expect(directory.listOwners(account).map(owner => owner.host)).toEqual([selectOwner(account, serving)?.host].filter(owner => owner !== undefined))
  }
})

test('owners are listed from the nearest zone to the farthest', () => {
  const zones = new Map([['a1', 'a'], ['b1', 'b'], ['a2', 'a'], ['b2', 'b']])
  const directory = new OwnerDirectory({ host: 'h', zone: 'b1', region: 'b' }, zones)
  for (const [zone, region] of zones) directory.update(makeRecord(`host-${zone}`, { zone, region }))
  expect(directory.listOwners('account').map(({ zone }) => zone)).toEqual(['b1', 'b2', 'a1', 'a2'])
})
