/**
 * A request that crashes each backend that begins to run it comes again and again. Between two of its arrivals the nodes are stopped and
 * started in turn, and each of them is in touch again when the request arrives there.
 */
import { dirname } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { makeConfiguration, runCase, sendAttempt, Traffic } from '../lib/mesh.js'
import { BOUNDS } from '../lib/settings.js'

const HOST = 'bookings.example'
const CRASHING_PATH = '/pay/poison'
const BACK_AFTER_MS = 2_000
const ROLL_GAP_MS = 2_000
const DOWN_MS = 500
const MARGIN_MS = 300
const MAX_RETRIES = 3

const MACHINES = ['a', 'b', 'c'].flatMap(region => [1, 2, 3].map(number => (
  { name: `side-${region}-${number}`, zone: `${region}1`, region, service: 'booking' }
)))

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ recorder, isTroubled, start }) => {
  const crashes = []
  const onRun = ({ backend, attempt, message }) => {
    if (message.url !== CRASHING_PATH) return false
    crashes.push({ at: Date.now(), attempt, backend: backend.id, machine: backend.machine })
    recorder.write(`${attempt} crashes ${backend.id}, crash ${crashes.length}`)
    backend.end().then(async () => {
      await delay(BACK_AFTER_MS)
      await backend.start()
    })
    return true
  }
  const configuration = makeConfiguration({
    version: 3, services: ['booking'], routes: [{ name: 'pay', host: HOST, pathPrefix: '/pay/', kind: 'unsafe', service: 'booking' }]
  })
  const { machines } = await start({ machines: MACHINES.map(machine => ({ ...machine, backend: { onRun } })), configuration })
  const sendCrashing = async machine => {
    const { attempt, status, body } = await sendAttempt(machine, { method: 'POST', path: CRASHING_PATH, hostHeader: HOST, body: 'same body' })
    recorder.write(`${attempt} sent to ${machine.name} is answered ${status} ${body?.toString() ?? ''}`)
  }
  const traffic = new Traffic(100, async number => {
    const machine = machines[number % machines.length]
    if (Date.now() > machine.disturbedAt + 1_000) await sendAttempt(machine, { method: 'POST', path: `/pay/${number}`, hostHeader: HOST, body: 'x' })
  })
  await delay(2_000)
  // The request comes at all machines in turn until it is blocked everywhere.
  for (const machine of machines) {
    await sendCrashing(machine)
    await delay(1_000)
  }
  recorder.write(`before the restarts the request crashed ${crashes.length} backends`)
  await delay(BACK_AFTER_MS)
  const arrivals = machines.map(async (machine, index) => {
    await delay(index * ROLL_GAP_MS)
    if (isTroubled) {
      recorder.write(`${machine.name} gets SIGTERM`)
      await machine.restartNode('SIGTERM', DOWN_MS)
      recorder.write(`${machine.name} is started again`)
      await machine.awaitReady()
    }
    await delay(machine.disturbedAt + BOUNDS.stabilityWindow + MARGIN_MS - Date.now())
    await sendCrashing(machine)
  })
  await Promise.all(arrivals)
  await traffic.stop()
  await delay(BACK_AFTER_MS + 500)

  const third = crashes[2]
  const counted = crashes.slice(3).filter(({ at, machine }) => at > third.at + BOUNDS.stabilityWindow && at > machine.disturbedAt + BOUNDS.stabilityWindow)
  recorder.write(`crashes ${crashes.length}, of these ${counted.length} later than ${BOUNDS.stabilityWindow} ms after the third and by machines in touch`)
  return counted.length > MAX_RETRIES ? `BUDGET: the request reached backends in ${counted.length} retries after it had crashed the third` : undefined
})
