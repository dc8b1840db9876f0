/**
 * The local port, which receives the announcements of this host's targets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readText } from '../core/index.js'
import { announcementSchema } from '../membership/index.js'
import type { Announcement } from '../membership/index.js'
import { writeJson } from '../node/index.js'

export interface AnnouncementContext {
  registerTarget: (announcement: Announcement) => void
  isLeaving: () => boolean
}

const MAX_BODY_BYTES = 64 * 1024

export async function serveAnnouncements (context: AnnouncementContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
  if (message.method !== 'POST' || message.url !== '/announce') {
    writeJson(response, 404, { message: 'not found; this port serves POST /announce only' })
    return
  }
  const text = await readText(message, MAX_BODY_BYTES).catch(() => '')
  if (text === undefined) {
    response.once('finish', () => { message.destroy() })
    writeJson(response, 413, { message: `an announcement has at most ${MAX_BODY_BYTES} bytes` })
    return
  }
  const announcement = announcementSchema.safeParse(parseJson(text))
  if (!announcement.success) {
    writeJson(response, 400, { message: 'invalid announcement', issues: announcement.error.issues })
    return
  }
  context.registerTarget(announcement.data)
  writeJson(response, 200, { leaving: context.isLeaving() })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
