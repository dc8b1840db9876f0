/**
 * What every other folder may use: results, faults, verdicts, time, random numbers, hashes and logs.
 */
export { Ok, Err } from './result.js'
export type { Result } from './result.js'
export { describeError, faultSchema, formatFault, formatPath, makeFault } from './fault.js'
export type { Fault } from './fault.js'
export { failureSchema, makeFailure, verdictSchema } from './verdict.js'
export type { Failure, Verdict } from './verdict.js'
export { Clock, SystemClock } from './clock.js'
export { Random, SeededRandom, SystemRandom } from './random.js'
export { deriveDeadline } from './deadline.js'
export { computeBackoff } from './backoff.js'
export type { BackoffLimits } from './backoff.js'
export { formatCanonical, hashIndex, hashText, hashValue } from './hash.js'
export { createLogger, logLevelSchema } from './log.js'
export type { LogFactory, Logger, LogLevel } from './log.js'
export { Channel } from './channel.js'
export { drainStream, Emitter } from './events.js'
