/**
 * The local port, which receives the announcements of this host's targets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { json } from 'node:stream/consumers'
import { announcementSchema } from '../membership/index.js'
import type { Announcement } from '../membership/index.js'
import { writeJson } from '../node/index.js'

export interface AnnouncementContext {
  registerTarget: (announcement: Announcement) => void
  isLeaving: () => boolean
}

export async function serveAnnouncements (context: AnnouncementContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  if (message.method !== 'POST' || message.url !== '/announce') {
    writeJson(response, 404, { message: 'not found; this port serves POST /announce only' })
    return
  }
  const announcement = announcementSchema.safeParse(await json(message).catch(() => undefined))
  if (!announcement.success) {
    writeJson(response, 400, { message: 'invalid announcement', issues: announcement.error.issues })
    return
  }
  context.registerTarget(announcement.data)
  writeJson(response, 200, { leaving: context.isLeaving() })
}
