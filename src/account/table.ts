/**
 * The accounts of one version of the configuration, found by the hash of a key.
 */
import { createHash } from 'node:crypto'
import type { Account } from './schema.js'

export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('base64url')
}

export class AccountTable {
  private readonly accounts = new Map<string, Account>()
  private readonly sharedHashes = new Set<string>()

  /** `isInForce` is false if the configuration has no accounts at all, in which case requests need no key. */
  constructor (readonly isInForce: boolean, accounts: readonly Account[] = []) {
    for (const account of accounts) for (const hash of account.keyHashes) this.add(hash, account)
  }

  /** A key of two accounts identifies neither. */
  find (hash: string): Account | undefined {
    return this.sharedHashes.has(hash) ? undefined : this.accounts.get(hash)
  }

  private add (hash: string, account: Account): void {
    const other = this.accounts.get(hash)
    if (other !== undefined && other.name !== account.name) this.sharedHashes.add(hash)
    this.accounts.set(hash, account)
  }
}
