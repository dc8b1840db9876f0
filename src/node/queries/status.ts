/**
 * The status that a node reports to the operator's tool.
 */
import type { StatusResponse } from '../../peer/index.js'
import type { NodeState } from '../state.js'

export function makeStatus (state: NodeState): StatusResponse {
  const { identity, snapshotTable } = state
  const inForce = [...snapshotTable.current.entries.values()]
  return {
    node: identity.host,
    zone: identity.zone,
    region: identity.region,
    ready: state.isReady,
    source: state.hasSource,
    version: state.version,
    versions: Object.fromEntries(inForce.map(({ service, version }) => [service, version])),
    refused: [...state.refused],
    records: [...state.members.list()]
  }
}
