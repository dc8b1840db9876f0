/**
 * Flags that several subcommands share, and the clients that these flags configure.
 */
import { userInfo } from 'node:os'
import { Err, Ok, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'
import { Dialer, loadCredentials, MsgpackCodec, PeerClient } from '../peer/index.js'
import { HttpObjectStore } from '../store/index.js'
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

export const EDIT_FLAGS = {
  expected: { type: 'string', description: 'version to replace, 0 for a new service (default: the one that is there)' },
  author: { type: 'string', description: 'name kept with the edit (default: your login name)' },
  ...COMMON_FLAGS
} as const

export function findAuthor (flag: string | undefined): string {
  return flag ?? userInfo().username
}

export function parseVersion (name: string, flag: string | undefined): Result<number | undefined, Fault> {
  if (flag === undefined) return Ok(undefined)
  const version = Number(flag)
  if (/^[0-9]+$/.test(flag) && Number.isSafeInteger(version)) return Ok(version)
  return Err(makeFault('usage', `--${name} is not a version`, { expected: 'a whole number, 0 or above', found: flag }))
}

export function parseExpected (flag: string | undefined, documents = 1): Result<number | undefined, Fault> {
  if (flag !== undefined && documents > 1) {
    return Err(makeFault('usage', '--expected can only be used with one document', { expected: 'one document', found: `${documents} documents` }))
  }
  return parseVersion('expected', flag)
}

export function openStore (flag: string | undefined): HttpObjectStore {
  const url = flag ?? process.env.COMFREYSPOKE_PLATFORM
  if (url === undefined || !URL.canParse(url)) {
    process.stderr.write('comfreyspoke: setting --platform (COMFREYSPOKE_PLATFORM) is missing or is not a URL\n')
    process.exit(EXIT.usage)
  }
  return new HttpObjectStore(url)
}

export type TlsFlags = { [name in keyof typeof TLS_FLAGS]?: string }

/** Creates a client for calls to nodes. Ends the program when the TLS files cannot be loaded. */
export async function openPeerClient (flags: TlsFlags): Promise<PeerClient> {
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
