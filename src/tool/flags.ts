/**
 * Flags that several subcommands share.
 */
import { Dialer, loadCredentials, MsgpackCodec, PeerClient } from '../peer/index.js'
import { HttpObjectStore } from '../platform/index.js'
import { EXIT } from './exit.js'

export const PLATFORM_FLAG = {
  platform: { type: 'string', description: 'URL of the platform\'s object API [COMFREYSPOKE_PLATFORM]' }
} as const

export const JSON_FLAG = { json: { type: 'boolean', default: false, description: 'print JSON for programs' } } as const

export const TLS_FLAGS = {
  'tls-ca': { type: 'string', description: 'PEM file of the nodes\' authority [COMFREYSPOKE_TLS_CA]' },
  'tls-cert': { type: 'string', description: 'PEM file of your certificate [COMFREYSPOKE_TLS_CERT]' },
  'tls-key': { type: 'string', description: 'PEM file of your private key [COMFREYSPOKE_TLS_KEY]' }
} as const

export const COMMON_FLAGS = { ...PLATFORM_FLAG, ...JSON_FLAG } as const

export function openPlatform (flag: string | undefined): HttpObjectStore {
  const url = flag ?? process.env.COMFREYSPOKE_PLATFORM
  if (url === undefined || !URL.canParse(url)) {
    process.stderr.write('comfreyspoke: setting --platform (COMFREYSPOKE_PLATFORM) is missing or no URL\n')
    process.exit(EXIT.usage)
  }
  return new HttpObjectStore(url)
}

export type TlsFlags = { [name in keyof typeof TLS_FLAGS]?: string }

/** A client for calls to nodes; ends the program when the TLS files cannot be used. */
export async function openNodes (flags: TlsFlags): Promise<PeerClient> {
  const loaded = await loadCredentials({
    ca: flags['tls-ca'] ?? process.env.COMFREYSPOKE_TLS_CA,
    cert: flags['tls-cert'] ?? process.env.COMFREYSPOKE_TLS_CERT,
    key: flags['tls-key'] ?? process.env.COMFREYSPOKE_TLS_KEY
  })
  if (loaded.err) {
    process.stderr.write(`comfreyspoke: ${loaded.val.message}\n`)
    process.exit(EXIT.usage)
  }
  return new PeerClient(new MsgpackCodec(), new Dialer(), loaded.val.client)
}
