/**
 * The first state of a node: reads what several bootstrap peers hold at once and takes the highest
 * version of each document. One peer may lag behind what another has in force, so it takes two
 * before the node may answer callers.
 */
import type { Logger } from '../../core/index.js'
import { readUpdate, receiveEntries, receiveRecords } from '../../peer/index.js'
import type { FetchAnswer, PeerClient, Receiver } from '../../peer/index.js'

const PEERS_ASKED = 4
const PEERS_NEEDED = 2

export async function fetchState (receiver: Receiver, client: PeerClient, bootstrap: readonly string[], log: Logger): Promise<void> {
  const { identity } = receiver.replica
  const peers = bootstrap.filter(peer => peer !== identity.peer).slice(0, PEERS_ASKED)
  const answers = await Promise.all(peers.map(async peer => await client.fetchState(peer, identity.host)))
  const whole = answers.flatMap(answer => answer.ok && answer.val.ready ? [answer.val] : [])
  whole.forEach(answer => { takeState(receiver, answer) })
  if (whole.length < PEERS_NEEDED) return
  receiver.replica.ready = true
  log.info(`took the state of ${whole.length} peers`)
}

export function takeState (receiver: Receiver, answer: FetchAnswer): void {
  receiveEntries(receiver, answer.updates.flatMap(update => {
    const read = readUpdate(update, undefined)
    return read.ok ? [read.val] : []
  }))
  receiveRecords(receiver, answer.records)
}
