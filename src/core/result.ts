/**
 * The only import of ts-results. That package has only a default export under Node's ESM loader,
 * and only named exports in a bundle, so this module tries both.
 */
import * as tsResults from 'ts-results'
import type { Err as ErrOf, Result as ResultOf } from 'ts-results'

type Constructors = Pick<typeof tsResults, 'Ok' | 'Err'>

const constructors = (tsResults as { default?: Constructors }).default ?? (tsResults as Constructors)

export const { Ok } = constructors

/** The library records the stack of each error, which costs far more than the rest of a rejected request, so the stack is left out. */
export function Err<E> (error: E): ErrOf<E> {
  const { stackTraceLimit } = Error
  Error.stackTraceLimit = 0
  try {
    return constructors.Err(error)
  } finally {
    Error.stackTraceLimit = stackTraceLimit
  }
}

export type Result<T, E> = ResultOf<T, E>
