/**
 * The platform as upstream of the origin head: lists the documents, then watches for changes.
 */
import { hashValue } from '../../core/index.js'
import type { Logger } from '../../core/index.js'
import { checkDocument, parseStored } from '../../document/index.js'
import { receiveEntries, Upstream } from '../../peer/index.js'
import type { Receiver, UpstreamEnd } from '../../peer/index.js'
import type { ObjectStore, StoredObject } from '../../platform/index.js'
import type { Entry } from '../../snapshot/index.js'

export class PlatformUpstream extends Upstream {
  override readonly name = 'platform'

  constructor (private readonly receiver: Receiver, private readonly store: ObjectStore, private readonly log: Logger) {
    super()
  }

  override async run (signal: AbortSignal): Promise<UpstreamEnd> {
    const listed = await this.store.queries.list('service')
    if (listed.err) return { reason: 'closed', detail: listed.val.message }
    this.takeObjects(listed.val.objects)
    this.receiver.replica.ready = true
    this.markAttached()
    for await (const event of this.store.queries.watch('service', listed.val.revision, signal)) {
      if (event.err) return { reason: 'closed', detail: event.val.message }
      this.takeObjects([event.val.object])
    }
    return { reason: 'closed', detail: 'watch ended' }
  }

  private takeObjects (objects: readonly StoredObject[]): void {
    receiveEntries(this.receiver, objects.flatMap(object => this.readObject(object) ?? []))
  }

  /** An object that does not hold a valid document is refused whole; the version before it stays. */
  private readObject (object: StoredObject): Entry | undefined {
    const { refusals } = this.receiver.replica
    const entry = convertObject(object)
    if (typeof entry !== 'string') {
      refusals.delete(object.name)
      return entry
    }
    if (refusals.get(object.name)?.version !== object.version) this.log.warn(`refused ${object.name} version ${object.version}: ${entry}`)
    refusals.set(object.name, { service: object.name, version: object.version, reason: entry })
    return undefined
  }
}

/** The entry, or the reason why there is none. */
function convertObject (object: StoredObject): Entry | string {
  const stored = parseStored(object)
  if (stored.err) return stored.val.message
  const { edit, service, version } = stored.val
  const entry = { service, version, acceptedAt: edit.acceptedAt }
  if (edit.deleted) return { ...entry, hash: '' }
  const document = checkDocument(edit.document)
  if (document.err) return document.val.map(fault => `${fault.path.join('.')}: ${fault.message}`).join('; ')
  if (document.val.service !== service) return `the document names itself ${document.val.service}`
  return { ...entry, hash: hashValue(document.val), document: document.val }
}
