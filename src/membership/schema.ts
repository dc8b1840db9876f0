/**
 * Records of hosts and their targets. A record has one owner, the node of its host, and the records of
 * a host are ordered by (incarnation, sequence). Addresses are `ip:port`.
 */
import * as z from 'zod'
import { addressSchema } from '../core/index.js'
import { nameSchema } from '../document/index.js'

/** The year 10000. A start above it is no time, and a record that supersedes it could not be encoded as an exact number. */
const MAX_START_MS = 253_402_300_800_000

/** Start time of a process, in Unix milliseconds. */
export const startTimeSchema = z.number().int().nonnegative().max(MAX_START_MS)

/**
 * Name of a host, zone or region. Messages have fields by zone, and a peer rejects a message with a field `__proto__`. A lone surrogate
 * is another text after encoding, so two nodes would never have the same digest.
 */
export const placeNameSchema = z.string().regex(/^(?!__proto__$)\P{Cs}{1,253}$/u, 'must be the name of a place')

export const targetStateSchema = z.enum(['starting', 'ready', 'leaving'])
export type TargetState = z.infer<typeof targetStateSchema>

const MAX_VERSION_CHARACTERS = 128

/** What a target posts to the node of its host. The target repeats it each second as a heartbeat. */
export const announcementSchema = z.strictObject({
  service: nameSchema,
  target: nameSchema,
  address: addressSchema,
  slots: z.number().int().min(1).max(10_000).default(6),
  connections: z.number().int().min(1).max(100_000).default(130),
  labels: z.record(nameSchema, z.string().max(63)).default({}),
  state: targetStateSchema.default('ready'),
  /** The version of the program, absent where there are no rollouts. */
  version: z.string().min(1).max(MAX_VERSION_CHARACTERS).optional()
})
export type Announcement = z.infer<typeof announcementSchema>

/** More than a host has within the time for which a heartbeat may be late. */
export const MAX_KNOWN_PROCESSES = 8
/** A mark that is left out costs one more crash at most. */
export const MAX_RECORD_MARKS = 64
const MAX_FINGERPRINT_CHARACTERS = 256

/** One process of a target, by which its heartbeats are told from those of another process with the same target id. */
export const targetProcessSchema = z.object({
  target: nameSchema,
  /** 0 if it is not known. */
  startedAt: startTimeSchema,
  /** At least that of the last heartbeat before the record was made. */
  sequence: z.number().int(),
  hasLeft: z.boolean(),
  /** The wall-clock time of the last deregistration without a start time, 0 if there was none. Processes that started until then have left. */
  deregisteredAt: z.number().nonnegative()
})
export type TargetProcess = z.infer<typeof targetProcessSchema>

/** A request that was in flight on a target of the host when the target crashed. */
export const recordMarkSchema = z.object({
  fingerprint: z.string().max(MAX_FINGERPRINT_CHARACTERS),
  /** The name of the target's process. */
  target: z.string().regex(/^[a-z0-9-]{1,63}(@\d{1,15})?$/)
})
export type RecordMark = z.infer<typeof recordMarkSchema>

export const hostRecordSchema = z.object({
  host: placeNameSchema,
  zone: placeNameSchema,
  region: placeNameSchema,
  inbound: addressSchema,
  peer: addressSchema,
  admin: addressSchema,
  /** Start time of the node process, so the records of a restarted node supersede the earlier ones. */
  incarnation: startTimeSchema,
  sequence: z.number().int().nonnegative(),
  state: z.enum(['serving', 'leaving']),
  targets: z.array(announcementSchema),
  /** What the next process of the host must know, since the processes of the targets may outlast that of the node. */
  processes: z.array(targetProcessSchema).max(MAX_KNOWN_PROCESSES).default([]),
  marks: z.array(recordMarkSchema).max(MAX_RECORD_MARKS).default([]),
  /** Set by a node that could not reach the host for REMOVE_UNREACHABLE_AFTER_MS. Any later record of the owner clears it. */
  gone: z.literal(true).optional()
})
export type HostRecord = z.infer<typeof hostRecordSchema>

/** The fields that order the records of a host. */
export type RecordStamp = Pick<HostRecord, 'incarnation' | 'sequence'> & { gone?: true | undefined }

/** A target that requests are routed to. */
export interface Target {
  readonly id: string
  readonly service: string
  readonly host: string
  readonly zone: string
  readonly region: string
  readonly inbound: string
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly labels: Readonly<Record<string, string>>
  readonly state: TargetState
  readonly version?: string | undefined
  /** Start time of the target's process in Unix milliseconds, absent if it is not known. */
  readonly startedAt?: number | undefined
}
