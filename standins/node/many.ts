/**
 * Runs several nodes in one process, for measurements at sizes where one process per node would not fit in
 * memory: `many.js PLACEMENT INDEXES PLATFORM`. Announces a target for each host; no server listens at its address.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { readSettings } from '../../src/core/index.js'
import { loadCredentials } from '../../src/peer/index.js'
import { startServer, writeJson } from '../../src/node/index.js'
import { nativeSettingsSchema, startNativeNode } from '../../src/program/index.js'
import { formatAddress, listNodeFlags } from '../layout/schema.js'
import type { HostLayout, Placement } from '../layout/schema.js'
import { LinkDialer } from '../link/dialer.js'

const ANNOUNCE_INTERVAL_MS = 1_000

const placement = JSON.parse(process.argv[2] ?? '{}') as Placement
const indexes = (process.argv[3] ?? '').split(',').map(Number)
const platform = process.argv[4] ?? ''

async function startHost (host: HostLayout): Promise<void> {
  const dialer = new LinkDialer(placement, host.index)
  await startServer(formatAddress(host, 'links'), async (_message, response) => { writeJson(response, 200, dialer.controlBytes) })
  const flags = listNodeFlags(host, dialer.resolvePlatform(platform)).map(flag => flag.slice(2).split('=', 2))
  const settings = readSettings(nativeSettingsSchema, { flags: Object.fromEntries(flags), env: {} })
  if (settings.err) throw new Error(settings.val.message)
  await startNativeNode(settings.val, (await loadCredentials({})).unwrap(), dialer)
  void announcePeriodically(host)
}

async function announcePeriodically (host: HostLayout): Promise<void> {
  const body = JSON.stringify({ service: host.service, target: `t-${host.index}`, address: formatAddress(host, 'target') })
  for (;;) {
    const response = await request(`http://${formatAddress(host, 'local')}/announce`, { method: 'POST', body })
    await response.body.dump()
    await delay(ANNOUNCE_INTERVAL_MS)
  }
}

for (const host of placement.hosts) if (indexes.includes(host.index)) await startHost(host)
