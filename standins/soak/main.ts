/**
 * `npm run soak -- [--seed N] [--minutes M] [--hosts N] [--runs N]`: runs the node program under random faults and prints the promises
 * that it broke. The seed of each further run is one higher. Exits with 1 if a promise was broken.
 */
import { defineCommand, runMain } from 'citty'
import { consola } from 'consola'
import type { Fault } from './plan.js'
import { runSoak } from './run.js'

const MS_PER_MINUTE = 60_000
const MAX_SEED = 2 ** 31

function formatFault ({ kind, atMs, forMs, host }: Fault): string {
  return `${(atMs / 1_000).toFixed(1)} s: ${kind} of host ${host} for ${(forMs / 1_000).toFixed(1)} s`
}

const command = defineCommand({
  meta: { name: 'soak', description: 'Runs nodes, targets, callers and a store under random faults, and checks what callers and targets see.' },
  args: {
    seed: { type: 'string', description: 'seed of the first run; a random one by default' },
    minutes: { type: 'string', default: '0.5', description: 'length of the part of each run that has faults' },
    hosts: { type: 'string', default: '8', description: 'number of hosts, each with a node and a target' },
    runs: { type: 'string', default: '1', description: 'number of runs' }
  },
  async run ({ args }) {
    const firstSeed = args.seed === undefined ? Math.floor(Math.random() * MAX_SEED) : Number(args.seed)
    let broken = 0
    for (let run = 0; run < Number(args.runs); run += 1) {
      const seed = firstSeed + run
      const planned: string[] = []
      const { requests, succeeded, faults, violations, folder } = await runSoak({
        seed, durationMs: Number(args.minutes) * MS_PER_MINUTE, hosts: Number(args.hosts), onFault: fault => { planned.push(formatFault(fault)) }
      })
      consola.log(`seed ${seed}: ${requests} requests, ${succeeded} succeeded, ${faults} faults, ${violations.length} violations`)
      if (violations.length === 0) continue
      broken += 1
      consola.log(`faults:\n  ${planned.join('\n  ')}\nviolations:\n  ${violations.join('\n  ')}\noutput of the nodes: ${folder}`)
    }
    process.exit(broken === 0 ? 0 : 1)
  }
})

await runMain(command)
