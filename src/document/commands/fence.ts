/**
 * Fencing: writes a service's object again unchanged. Its version rises, so every write that was
 * conditioned on the version before ends in a conflict, whenever it arrives.
 */
import { v7 as makeUuid } from 'uuid'
import { attemptWrite } from '../context.js'
import type { EditContext } from '../context.js'
import type { ServiceState } from '../queries/read.js'
import type { Edit } from '../stored.js'

/**
 * Best effort: the caller reads the object again and finds out whether it has moved. An object
 * that does not exist yet becomes a tombstone, since only a write can refuse its pending creation.
 */
export async function fenceService (context: EditContext, state: ServiceState): Promise<void> {
  const value = state.version === 0 ? makeFenceTombstone(context) : makeFenced(context, state)
  await attemptWrite(context, { kind: 'service', name: state.service, expected: state.version, value })
}

/** The time of the fence keeps measurements of convergence from counting since the edit. */
function makeFenced ({ clock }: EditContext, { value, edit }: ServiceState): unknown {
  return edit === undefined ? value : { ...value as object, fencedAt: clock.now() }
}

function makeFenceTombstone ({ clock }: EditContext): Edit {
  return { editId: makeUuid(), earlierEdits: [], author: 'comfreyspoke', acceptedAt: clock.now(), deleted: true }
}
