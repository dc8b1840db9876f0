/**
 * Fencing: rewrites the object of a service unchanged. Its version rises, so every write that is
 * conditional on the previous version ends in a conflict, however late the write arrives.
 */
import { v7 as makeUuid } from 'uuid'
import { attemptWrite } from '../context.js'
import type { EditContext } from '../context.js'
import type { ServiceState } from '../queries/read.js'
import type { Edit } from '../stored.js'

/**
 * Best effort: the calling function reads the object again to see whether its version changed. An
 * object that does not exist yet becomes a tombstone, because only a write can make its pending creation fail.
 */
export async function fenceService (context: EditContext, state: ServiceState): Promise<void> {
  const value = state.version === 0 ? makeFenceTombstone(context) : makeFencedValue(context, state)
  await attemptWrite(context, { kind: 'service', name: state.service, expected: state.version, value })
}

/** With the time of the fence, measurements of convergence do not count from the time of the edit. */
function makeFencedValue ({ clock }: EditContext, { value, edit }: ServiceState): unknown {
  return edit === undefined ? value : { ...value as object, fencedAt: clock.now() }
}

function makeFenceTombstone ({ clock }: EditContext): Edit {
  return { editId: makeUuid(), earlierEdits: [], author: 'comfreyspoke', acceptedAt: clock.now(), deleted: true }
}
