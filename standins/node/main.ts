/**
 * The node program with delayed links to other zones and to the platform. The first argument is the placement as JSON,
 * the second the host's index; the rest are the flags of `comfreyspoke-node`. `POST /links {zone, state}` on
 * the links port cuts and restores links; `GET /links` responds with the byte counts of the links.
 */
import { json } from 'node:stream/consumers'
import { runMain } from 'citty'
import * as z from 'zod'
import { startServer, writeJson } from '../../src/node/index.js'
import { defineNodeCommand } from '../../src/program/index.js'
import { formatAddress } from '../layout/schema.js'
import type { Placement } from '../layout/schema.js'
import { LinkDialer } from '../link/dialer.js'

const linkChangeSchema = z.object({ zone: z.string(), state: z.enum(['up', 'reset', 'silent']) })

const placement = JSON.parse(process.argv[2] ?? '{}') as Placement
const index = Number(process.argv[3])
const dialer = new LinkDialer(placement, index)
const localHost = placement.hosts.find(host => host.index === index)
if (localHost === undefined) throw new Error(`no host ${index} in the placement`)

await startServer(formatAddress(localHost, 'links'), async (message, response) => {
  if (message.method === 'POST') {
    const change = linkChangeSchema.parse(await json(message))
    dialer.setLinks(change.zone, change.state)
  }
  writeJson(response, 200, dialer.controlBytes)
})

const rawArgs = process.argv.slice(4).map(flag =>
  flag.startsWith('--platform=') ? `--platform=${dialer.resolvePlatform(flag.slice('--platform='.length))}` : flag)
await runMain(defineNodeCommand(async () => dialer), { rawArgs })
