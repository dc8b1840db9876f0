/**
 * Flags that several subcommands share.
 */
import { HttpObjectStore } from '../platform/index.js'
import { EXIT } from './exit.js'

export const PLATFORM_FLAG = {
  platform: { type: 'string', description: 'URL of the platform\'s object API [COMFREYSPOKE_PLATFORM]' }
} as const

export const JSON_FLAG = { json: { type: 'boolean', default: false, description: 'print JSON for programs' } } as const

export const COMMON_FLAGS = { ...PLATFORM_FLAG, ...JSON_FLAG } as const

export function openPlatform (flag: string | undefined): HttpObjectStore {
  const url = flag ?? process.env.COMFREYSPOKE_PLATFORM
  if (url === undefined || !URL.canParse(url)) {
    process.stderr.write('comfreyspoke: setting --platform (COMFREYSPOKE_PLATFORM) is missing or no URL\n')
    process.exit(EXIT.usage)
  }
  return new HttpObjectStore(url)
}
