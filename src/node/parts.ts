/**
 * What a node is assembled from.
 */
import type { ConfigurationSource } from '../configuration/index.js'
import type { SystemClock, SystemRandom } from '../core/index.js'
import type { Dialer, PeerCredentials } from '../peer/index.js'
import type { QuotaSettings } from '../quota/index.js'
import type { RolloutBounds, RolloutStore } from '../rollout/index.js'
import type { AdmissionPolicy, EntryPolicy, EntryState, Picker, ProtocolAdapter, RetryPolicy, WorkControl } from '../request/index.js'
import type { ObjectStore } from '../store/index.js'
import type { NodeSettings, NodeTimeouts } from './settings.js'

/** The policies by which requests are handled. */
export interface RequestPolicies {
  picker: Picker
  retry: RetryPolicy
  admission: AdmissionPolicy
  /** Decides by expected time where the deployment calls for it. Absent: decisions are made by the number of requests. */
  control?: WorkControl
  /** Refuses calls before their first attempt. Absent: no call is. */
  makeEntry?: (onState: (state: EntryState) => void) => EntryPolicy
  /** Request bodies up to this many bytes are buffered before a target is picked. If absent, those of a known, short length are. */
  requestBufferBytes?: number
  /** Responses up to this many bytes are forwarded only once they are complete. */
  responseBufferBytes: number
  /** An idle connection to a target is closed after this time. */
  targetIdleMs: number
}

/** How this node and the rest of the fleet reach each other and prove their identity. */
export interface AccessOptions { credentials?: PeerCredentials, dialer?: Dialer, peerToken?: string | undefined, operatorToken?: string | undefined }

export interface RolloutParts { bounds: RolloutBounds, store: RolloutStore }

export interface NodeParts {
  settings: NodeSettings
  timeouts: NodeTimeouts
  store: ObjectStore
  source: ConfigurationSource
  adapter: ProtocolAdapter
  /** Absent if the deployment has no quotas. */
  quota?: QuotaSettings
  /** Absent where there are no rollouts: then nothing is read or sent for them. */
  rollouts?: RolloutParts
  /** `countNodes` returns the number of nodes in the fleet that this node knows of, `hasAccounts` whether client accounts are in force. */
  makePolicies: (clock: SystemClock, random: SystemRandom, countNodes: () => number, hasAccounts: () => boolean) => RequestPolicies
  access?: AccessOptions
}

/** `cut`: requests were still in flight after the drain timeout. */
export type StopResult = 'whole' | 'cut'
