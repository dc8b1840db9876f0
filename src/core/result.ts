/**
 * The only import of ts-results. Under Node's ESM loader that package exports
 * only a default, so named imports would compile and then fail at run time.
 */
import tsResults from 'ts-results'
import type { Result as ResultOf } from 'ts-results'

export const { Ok, Err } = tsResults

export type Result<T, E> = ResultOf<T, E>
