/**
 * Loggers with one fixed prefix for each part, on standard error.
 */
import { createConsola } from 'consola'
import { z } from 'zod'

export const logLevelSchema = z.enum(['silent', 'error', 'warn', 'info', 'debug'])
export type LogLevel = z.infer<typeof logLevelSchema>

const CONSOLA_LEVEL: Record<LogLevel, number> = { silent: -999, error: 0, warn: 1, info: 3, debug: 4 }

export interface Logger {
  error: (text: string) => void
  warn: (text: string) => void
  info: (text: string) => void
  debug: (text: string) => void
}

/** The prefix is one of `node`, `peer`, `duty`, `platform`, `member`, `request`, `once`, `tool`. */
export function createLogger (prefix: string, level: LogLevel): Logger {
  const output = createConsola({ level: CONSOLA_LEVEL[level], stdout: process.stderr, stderr: process.stderr, fancy: false })
  return {
    error: text => { output.error(`${prefix}: ${text}`) },
    warn: text => { output.warn(`${prefix}: ${text}`) },
    info: text => { output.info(`${prefix}: ${text}`) },
    debug: text => { output.debug(`${prefix}: ${text}`) }
  }
}

export type LogFactory = (prefix: string) => Logger
