/**
 * Settings and processes of nodes. The settings file is the template of the deploy file with the platform's fields filled in, and the
 * command is the one of the deploy file.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, closeSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** The bounds of the deployment `kamisori-mesh`, in milliseconds where they are times. */
export const BOUNDS = { stabilityWindow: 3_000, drain: 2_500, grace: 6_000, configApply: 2_500, lossSlack: 200, heartbeat: 870 }

export const PORTS = { inbound: 8146, outbound: 8147, ready: 8141, control: 8144, app: 8145, first: 7380, last: 7395, store: 8142 }

/** Returns the text between quotes that follows `key = ` in the deploy file. */
function readDeployValue (key) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return new RegExp(`^${key} = "([^"]*)"`, 'm').exec(text)[1]
}

function renderTemplate (fields) {
  const template = readFileSync(join(ROOT, readDeployValue('template')), 'utf8')
  return template.replace(/\{\{([^}]+)\}\}/g, (_match, path) => {
    const value = path.split('.').reduce((node, name) => node?.[name], fields)
    if (value === undefined) throw new Error(`the template asks for ${path}`)
    return String(value)
  })
}

export function makeFields ({ name, zone, region, service, ip, store }) {
  const at = port => `${ip}:${port}`
  return {
    nodeName: name,
    zone,
    region,
    service,
    ip,
    appAddr: at(PORTS.app),
    listen: { inbound: at(PORTS.inbound), outbound: at(PORTS.outbound), ready: at(PORTS.ready), control: at(PORTS.control) },
    internalPorts: [PORTS.first, PORTS.last],
    heartbeatInterval: `${BOUNDS.heartbeat}ms`,
    platform: { address: store },
    bounds: { grace: '6s', budgetRatio: 0.2, budgetExtra: 62, budgetWindow: '10s' }
  }
}

/** One node process of a machine, which can be killed or stopped, and started again. */
export class NodeProcess {
  constructor (fields) {
    this.fields = fields
    this.folder = mkdtempSync(join(tmpdir(), 'review-node-'))
    this.child = undefined
    this.hasEndedByItself = false
  }

  start () {
    const file = join(this.folder, 'local.conf')
    writeFileSync(file, renderTemplate(this.fields))
    const [program, ...parameters] = readDeployValue('run').split(' ')
    const output = openSync(join(this.folder, 'output.log'), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, parameters, {
      cwd: ROOT, env: { PATH, HOME, LANG, COMFREYSPOKE_SETTINGS: file }, stdio: ['ignore', output, output]
    })
    closeSync(output)
    this.child = child
    child.once('exit', () => { if (this.child === child) this.hasEndedByItself = true })
  }

  removeFolder () {
    rmSync(this.folder, { recursive: true, force: true })
  }

  pause () {
    this.child?.kill('SIGSTOP')
  }

  /** Resolves when the process has ended. SIGTERM is followed by SIGKILL after the grace time. */
  async end (signal) {
    const { child } = this
    if (child === undefined) return
    this.child = undefined
    if (child.exitCode !== null || child.signalCode !== null) return
    const exited = new Promise(resolve => { child.once('exit', resolve) })
    child.kill(signal)
    const timer = setTimeout(() => { child.kill('SIGKILL') }, BOUNDS.grace)
    await exited
    clearTimeout(timer)
  }
}

/** Returns the first three parts of a block of loopback addresses on which all ports are free. */
export async function findBlock (machines) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const block = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`
    if (await isBlockFree(block, machines)) return block
  }
  throw new Error('no free block of addresses')
}

async function isBlockFree (block, machines) {
  for (let index = 1; index <= machines + 1; index += 1) {
    for (const port of Object.values(PORTS)) if (!await isFree(`${block}.${index}`, port)) return false
  }
  return true
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}
