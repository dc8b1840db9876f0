/**
 * A backend leaves without reporting that it drains: it deregisters, gets the acknowledgement, and continues to serve. Then the node beside
 * it is killed and starts again, and one heartbeat that the backend sent before it deregistered arrives some seconds late.
 */
import { dirname } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { makeConfiguration, runCase, sendAttempt, Traffic } from '../lib/mesh.js'
import { BOUNDS } from '../lib/settings.js'

const HOST = 'bookings.example'
const DOWN_MS = 500
const KILL_AFTER_MS = 300
/** The heartbeat was sent just before the deregistration and arrives this long after it. */
const LATE_MS = 4_500
const SERVES_ON_MS = 10_000
const SEND_INTERVAL_MS = 25
/** Requests on the way when a bound passes, and the error of comparing times in one process. */
const MARGIN_MS = 100

const MACHINES = [
  { name: 'side-a-1', zone: 'a1', region: 'a', service: 'booking' },
  { name: 'side-a-2', zone: 'a1', region: 'a', service: 'booking' },
  { name: 'side-b-1', zone: 'b1', region: 'b', service: 'booking' },
  { name: 'side-a-3', zone: 'a1', region: 'a', service: 'gallery' }
]

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recorder, isTroubled, start }) => {
  const runs = []
  const onRun = ({ backend, attempt }) => { runs.push({ at: Date.now(), instance: backend.id, attempt }) }
  const configuration = makeConfiguration({
    version: 3,
    services: ['booking', 'gallery'],
    routes: [{ name: 'slots', host: HOST, pathPrefix: '/slots/', kind: 'safe', service: 'booking' }]
  })
  const { machines } = await start({ machines: MACHINES.map(machine => ({ ...machine, backend: { onRun } })), configuration })
  const [leaving, , , caller] = machines
  const { backend } = leaving
  const answers = new Map()
  let isRestarting = false
  const traffic = new Traffic(SEND_INTERVAL_MS, async number => {
    // Half of the requests come from clients on the machine of the leaving backend while its node is ready.
    const machine = number % 2 === 0 && !isRestarting ? leaving : caller
    const result = await sendAttempt(machine, { path: `/slots/${number}`, hostHeader: HOST })
    answers.set(result.attempt, { machine, ...result })
  })
  await delay(3_000)
  const lateBeat = backend.makeBeat()
  backend.stopHeartbeats()
  const acknowledgedAt = await backend.deregister()
  if (acknowledgedAt === undefined) throw new Error('the deregistration was not acknowledged')
  recorder.write(`${leaving.name} acknowledged that ${backend.id} has deregistered`)
  await delay(KILL_AFTER_MS)
  if (isTroubled) {
    isRestarting = true
    recorder.write(`the node of ${leaving.name} is killed`)
    await leaving.restartNode('SIGKILL', DOWN_MS)
    recorder.write(`the node of ${leaving.name} is started again`)
    await leaving.awaitReady()
    isRestarting = false
  }
  await delay(acknowledgedAt + LATE_MS - Date.now())
  const isTaken = await backend.post(lateBeat) !== undefined
  recorder.write(`a late heartbeat of ${backend.id} with seq ${lateBeat.body.status.seq} arrives, ${isTaken ? 'acknowledged' : 'not acknowledged'}`)
  await delay(acknowledgedAt + SERVES_ON_MS - Date.now())
  const { id } = backend
  await traffic.stop()
  await backend.end()
  recorder.write(`${id} ends`)

  const inTouchAt = leaving.disturbedAt + BOUNDS.stabilityWindow
  const late = runs.filter(({ at, instance }) => instance === id && at > acknowledgedAt + BOUNDS.drain + MARGIN_MS)
  const counted = late.filter(({ at }) => at > inTouchAt + MARGIN_MS)
  for (const { at, attempt } of late) {
    const answer = answers.get(attempt)
    const isInTouch = at > inTouchAt + MARGIN_MS ? 'in touch' : 'not in touch yet'
    recorder.write(`${attempt} from ${answer?.machine.name} ran on ${id} ${at - acknowledgedAt} ms after the acknowledgement, ` +
      `${isInTouch}, status ${answer?.status}`)
  }
  recorder.write(`sent ${answers.size}, run ${runs.length}, run on ${id} too late ${late.length}, of these by machines in touch ${counted.length}`)
  return counted.length > 0 ? `DRAIN: ${counted.length} requests reached ${id} later than ${BOUNDS.drain} ms after it was acknowledged as gone` : undefined
})
