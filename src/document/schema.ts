/**
 * The document of a service: its routes, the targets that serve it, limits, retries and allowed callers.
 * Times are in milliseconds, sizes in bytes. Collections are maps by name, so that the
 * difference between two versions stays as small as the edit.
 */
import * as z from 'zod'

export const MAX_BODY_BYTES = 1024 ** 3
/** Limits the size of a document as canonical JSON. The history object of a service, at most 512 KiB, must have room for the complete newest edit. */
export const MAX_DOCUMENT_BYTES = 500_000
export const MAX_SLOTS = 10_000
export const MAX_ROUTE_DEADLINE_MS = 600_000
export const MAX_CONNECTIONS = 100_000
const MAX_WEIGHT = 1_000
export const MAX_ATTEMPTS = 100
const MAX_LABELS = 16
const MAX_SERVICE_NAMES = 1_000

/** Names of services, routes and labels: lower case, digits and hyphens, at most 63 characters. */
export const nameSchema = z.string().regex(/^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/, 'must be lower-case letters, digits and hyphens')

/**
 * Complete segments of the path characters of RFC 3986. A trailing slash is rejected, since `/photos`
 * also matches the paths below it. Dot segments are rejected, since clients remove them.
 */
export const pathSchema = z.string().max(512)
  .regex(/^\/$|^(\/(?!\.{1,2}(\/|$))([A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+)+$/,
    'must be / or segments like /photos/new, without a slash at the end, dot segments, ? or #')

const labelsSchema = z.record(nameSchema, z.string().max(63))
  .refine(labels => Object.keys(labels).length <= MAX_LABELS, `must be at most ${MAX_LABELS} labels`)

/** The name of the destination is the name of its service, unless `service` names another. */
export const destinationSchema = z.strictObject({
  service: nameSchema.optional(),
  weight: z.number().int().min(0).max(MAX_WEIGHT).default(100),
  labels: labelsSchema.default({})
})
export type Destination = z.infer<typeof destinationSchema>

/**
 * `idempotent`: a request may be resent at any time. `plain`: a request runs at most once, and is
 * resent only when it certainly did not run.
 */
export const routeKindSchema = z.enum(['idempotent', 'plain'])
export type RouteKind = z.infer<typeof routeKindSchema>

/** The priority of a request when slots are scarce. */
export const routeClassSchema = z.enum(['critical', 'normal', 'bulk'])
export type RouteClass = z.infer<typeof routeClassSchema>

export const routeSchema = z.strictObject({
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'TRACE'])).min(1),
  /** The name in the `Host` header by which callers reach the route. Absent: callers name the service. */
  host: z.string().min(1).max(253).optional(),
  path: pathSchema,
  /** Only paths below `path` match, not `path` itself. */
  below: z.literal(true).optional(),
  kind: routeKindSchema,
  class: routeClassSchema.default('normal'),
  deadlineMs: z.number().int().min(1).max(MAX_ROUTE_DEADLINE_MS),
  /** Responses within this time are fully useful to the caller. Absent: responses within the deadline. */
  objectiveMs: z.number().int().min(1).max(MAX_ROUTE_DEADLINE_MS).optional(),
  /** The number of targets that one call may be sent to. Absent: `attempts` of the document's `retries`. */
  attempts: z.number().int().min(1).max(MAX_ATTEMPTS).optional(),
  maxBodyBytes: z.number().int().min(0).max(MAX_BODY_BYTES).default(1024 * 1024),
  /** Requests are served without a key of a client account. */
  public: z.literal(true).optional(),
  /** Requests are rejected as not run, for example since the terms of the route could not be read. */
  unavailable: z.literal(true).optional(),
  /** Destinations by name. Empty means the document's own service. */
  to: z.record(nameSchema, destinationSchema).default({})
})
export type Route = z.infer<typeof routeSchema>

export const limitsSchema = z.strictObject({
  slots: z.number().int().min(1).max(MAX_SLOTS).default(6),
  connections: z.number().int().min(1).max(MAX_CONNECTIONS).default(130),
  queue: z.number().int().min(0).max(10_000).default(12)
})
export type Limits = z.infer<typeof limitsSchema>

export const retriesSchema = z.strictObject({
  attempts: z.number().int().min(1).max(5).default(3),
  budgetPercent: z.number().min(0).max(100).default(20),
  minPerSecond: z.number().min(0).max(1000).default(3)
})
export type Retries = z.infer<typeof retriesSchema>

export const documentSchema = z.strictObject({
  service: nameSchema,
  routes: z.record(nameSchema, routeSchema),
  limits: limitsSchema.prefault({}),
  retries: retriesSchema.prefault({}),
  /** `same-first`: the local zone, then the local region, then the rest. `any`: all zones alike. */
  zones: z.enum(['same-first', 'any']).default('same-first'),
  /** Names of the callers that may call the service. Absent: any caller. */
  callers: z.array(nameSchema).min(1).max(MAX_SERVICE_NAMES).optional(),
  /** Other services that this service depends on, besides those that its routes name. */
  needs: z.array(nameSchema).max(MAX_SERVICE_NAMES).default([])
})
export type Document = z.infer<typeof documentSchema>

/**
 * Documents as nodes send them to each other. A configuration of another format, converted into documents, may have names and values
 * that the rules for operators exclude. A node that applied these rules would reject every message with that version.
 */
const sentDestinationSchema = destinationSchema.extend({ service: z.string().optional(), weight: z.number().nonnegative() })
const sentRouteSchema = routeSchema.extend({
  host: z.string().optional(),
  path: z.string(),
  deadlineMs: z.number().nonnegative(),
  objectiveMs: z.number().nonnegative().optional(),
  attempts: z.number().int().positive().optional(),
  maxBodyBytes: z.number().nonnegative(),
  to: z.record(z.string(), sentDestinationSchema)
})
export const sentDocumentSchema = documentSchema.extend({ service: z.string(), routes: z.record(z.string(), sentRouteSchema) })
