/**
 * Moves credits from the owners of other zones to the owner of this one.
 */
import type { Clock } from '../../core/index.js'
import type { OwnerDirectory, OwnerHost } from '../directory.js'
import type { CreditStock } from '../stock.js'
import type { LoanBatcher } from './batch.js'

export interface BorrowContext {
  account: string
  stock: CreditStock
  directory: OwnerDirectory
  host: string
  batcher: LoanBatcher
  clock: Clock
}

/**
 * Asks for `wanted` credits. A few are asked for at the nearest owner first, since what one owner has too much of expires; many are asked
 * for at all owners at once, a part at each. Returns the number received.
 */
export async function borrowCredits (context: BorrowContext, wanted: number): Promise<number> {
  const { directory, account, host } = context
  const others = directory.listOwners(account).filter(owner => owner.host !== host)
  const [nearest, ...farther] = others
  if (nearest === undefined) return 0
  if (wanted >= others.length) return await borrowParts(context, others, wanted)
  const received = await borrowFrom(context, nearest, wanted)
  if (received >= wanted || farther.length === 0) return received
  return received + await borrowInTurn(context, farther, wanted - received)
}

async function borrowParts (context: BorrowContext, owners: readonly OwnerHost[], wanted: number): Promise<number> {
  const part = Math.ceil(wanted / owners.length)
  const received = await Promise.all(owners.map(async owner => await borrowFrom(context, owner, part)))
  return received.reduce((sum, credits) => sum + credits, 0)
}

/** Asks one owner, beginning with a different one each time, and then all the others at once. */
async function borrowInTurn (context: BorrowContext, owners: readonly OwnerHost[], wanted: number): Promise<number> {
  const first = Math.floor(context.clock.monotonic()) % owners.length
  const [next, ...rest] = [...owners.slice(first), ...owners.slice(0, first)]
  const received = next === undefined ? 0 : await borrowFrom(context, next, wanted)
  if (received >= wanted || rest.length === 0) return received
  return received + await borrowParts(context, rest, wanted - received)
}

async function borrowFrom ({ account, batcher, stock, clock }: BorrowContext, owner: OwnerHost, credits: number): Promise<number> {
  const sentAt = clock.monotonic()
  const loan = await batcher.fetch(owner.peer, { account, credits })
  if (loan === undefined) return 0
  const expiresAt = sentAt + (loan.validMs ?? 0)
  if (expiresAt <= clock.monotonic()) return 0
  stock.add(loan.credits, expiresAt)
  return loan.credits
}
