/**
 * Orders positions in the history of the store.
 */
import type { StorePosition } from '../schema.js'

/** Any position of a later epoch follows all positions of an earlier one, whatever their revisions are. */
export function comparePositions (left: StorePosition, right: StorePosition): number {
  return left.epoch === right.epoch ? left.revision - right.revision : left.epoch - right.epoch
}
