/**
 * The local port: announcements of this host's targets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { json } from 'node:stream/consumers'
import { announcementSchema } from '../membership/index.js'
import type { Announcement } from '../membership/index.js'
import { writeJson } from '../node/index.js'

export interface AnnouncementContext {
  announce: (announcement: Announcement) => void
  isLeaving: () => boolean
}

export async function serveAnnouncements (context: AnnouncementContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  if (message.method !== 'POST' || message.url !== '/announce') {
    writeJson(response, 404, { message: 'POST /announce is all there is' })
    return
  }
  const announcement = announcementSchema.safeParse(await json(message).catch(() => undefined))
  if (!announcement.success) {
    writeJson(response, 400, { message: 'bad announcement', issues: announcement.error.issues })
    return
  }
  context.announce(announcement.data)
  writeJson(response, 200, { leaving: context.isLeaving() })
}
