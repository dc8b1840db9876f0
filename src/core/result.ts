/**
 * The only import of ts-results. That package has only a default export under Node's ESM loader,
 * and only named exports in a bundle, so this module tries both.
 */
import * as tsResults from 'ts-results'
import type { Result as ResultOf } from 'ts-results'

type Constructors = Pick<typeof tsResults, 'Ok' | 'Err'>

export const { Ok, Err } = (tsResults as { default?: Constructors }).default ?? (tsResults as Constructors)

export type Result<T, E> = ResultOf<T, E>
