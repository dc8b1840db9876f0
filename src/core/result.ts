/**
 * The only import of ts-results. Under Node's ESM loader that package exports only a default, and
 * in a bundle only names, so each is asked for.
 */
import * as tsResults from 'ts-results'
import type { Result as ResultOf } from 'ts-results'

type Names = Pick<typeof tsResults, 'Ok' | 'Err'>

export const { Ok, Err } = (tsResults as { default?: Names }).default ?? (tsResults as Names)

export type Result<T, E> = ResultOf<T, E>
