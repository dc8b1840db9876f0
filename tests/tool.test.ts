/**
 * Guards the operator's tool, run as a program, against outcomes that a person or a script could mistake for
 * each other: each outcome needs its own exit code and a message that names the fault and its place.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { PlatformServer } from '../standins/platform/server.js'

let server: PlatformServer
let url: string
let folder: string

beforeEach(async () => {
  server = new PlatformServer()
  url = await server.listen(0)
  folder = await mkdtemp(join(tmpdir(), 'comfreyspoke-tool-'))
})

afterEach(async () => {
  await server.close()
  await rm(folder, { recursive: true })
})

interface Run { code: number, stdout: string, stderr: string }

async function runTool (...args: string[]): Promise<Run> {
  return await new Promise(resolve => {
    execFile(process.execPath, ['dist/src/bin/tool.js', ...args], { env: { PATH: process.env.PATH, COMFREYSPOKE_PLATFORM: url } }, (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr })
    })
  })
}

async function makeFile (name: string, content: string): Promise<string> {
  const file = join(folder, name)
  await writeFile(file, content)
  return file
}

function formatDocument (service: string, needs: string[] = []): string {
  return `service: ${service}\nroutes: {}\nneeds: [${needs.join(', ')}]\n`
}

async function applyNew (service: string, needs: string[] = []): Promise<{ version: number, editId: string }> {
  const { stdout } = await runTool('apply', await makeFile(`${service}.yaml`, formatDocument(service, needs)), '--json')
  return JSON.parse(stdout) as { version: number, editId: string }
}

describe('wrong usage ends with exit code 2 and changes nothing', () => {
  test.each([
    [['aply', 'x.yaml'], 'there is no subcommand aply'],
    [[], 'a subcommand is missing'],
    [['apply'], 'argument FILE is missing'],
    [['apply', 'x.yaml', '--forse'], '--forse'],
    [['delete', 'desk', 'gallery'], 'argument gallery is superfluous'],
    [['get', 'desk', '--version', 'new'], '--version is not a version'],
    [['get'], 'argument SERVICE is missing'],
    [['delete', 'desk', '--expected', '1.5'], '--expected is not a version'],
    [['delete', 'desk', '--expected='], '--expected has no value']
  ])('%j', async (args, message) => {
    const { code, stderr, stdout } = await runTool(...args)
    expect({ code, stdout }).toEqual({ code: 2, stdout: '' })
    expect(stderr).toContain(message)
    expect(server.counts).toEqual({})
  })
})

describe('apply', () => {
  test('accepts several documents of one file in the order of their references', async () => {
    const file = await makeFile('all.yaml', ['counter-desk', 'design-gallery'].map((service, index) =>
      formatDocument(service, index === 0 ? ['design-gallery'] : [])).join('---\n'))
    const { code, stdout } = await runTool('apply', file, '--json')
    expect(code).toBe(0)
    expect(stdout.trim().split('\n').map(line => (JSON.parse(line) as { service: string }).service)).toEqual(['design-gallery', 'counter-desk'])
  })

  test('a stale list from the platform does not make a service look missing', async () => {
    await applyNew('gallery')
    server.setSwitches({ lagLists: 100 })
    expect((await runTool('apply', await makeFile('desk.yaml', formatDocument('desk', ['gallery'])))).code).toBe(0)
  })

  test('--dry-run checks against the platform and changes nothing', async () => {
    const missing = await runTool('apply', await makeFile('desk.yaml', formatDocument('desk', ['gallery'])), '--dry-run')
    expect(missing.code).toBe(1)
    expect(missing.stderr).toContain('missing_reference')
    const valid = await runTool('apply', await makeFile('gallery.yaml', formatDocument('gallery')), '--dry-run')
    expect(valid).toMatchObject({ code: 0, stdout: 'would replace version 0 of gallery\n' })
    expect(Object.keys(server.counts)).toEqual(['get service'])
  })

  test.each([
    ['a duplicate key', 'service: desk\nservice: desk\nroutes: {}\n', 'desk.yaml:2: Map keys must be unique'],
    ['a wrong type', 'service: desk\nroutes:\n  check:\n    deadlineMs: soon\n', 'desk.yaml:4: routes.check.deadlineMs: has the wrong type (expected number, found "soon")'],
    ['an unknown field', 'service: desk\nroutes: {}\nweights: 1\n', 'desk.yaml:3: weights: is not a field (expected one of'],
    ['nothing', '', 'there is no document'],
    ['a new circle', `${formatDocument('a', ['b'])}---\n${formatDocument('b', ['a'])}`, 'the new services a, b refer to each other']
  ])('rejects %s with exit code 1, the line and the path', async (_name, content, message) => {
    const { code, stderr } = await runTool('apply', await makeFile('desk.yaml', content))
    expect(stderr).toContain(message)
    expect(code).toBe(1)
  })

  test('a conflict has exit code 3 and names the accepted version', async () => {
    const { version } = await applyNew('desk')
    const { code, stderr } = await runTool('apply', join(folder, 'desk.yaml'), '--expected', String(version - 1), '--json')
    expect(code).toBe(3)
    expect(JSON.parse(stderr)).toMatchObject({ code: 'conflict', version })
  })

  test('when the platform is unreachable the exit code is 4 and nothing changes', async () => {
    server.setSwitches({ down: true })
    const { code, stderr } = await runTool('apply', await makeFile('desk.yaml', formatDocument('desk')))
    expect(code).toBe(4)
    expect(stderr).toContain('unreachable')
  })

  test('when the write and the requests after it get no response, the exit code is 5, and get --edit returns the outcome later', async () => {
    const stop = server.objects.listen(({ object }) => { if (object.kind === 'service') server.setSwitches({ down: true }) })
    const { code, stderr } = await runTool('apply', await makeFile('desk.yaml', formatDocument('desk')), '--json')
    stop()
    expect(code).toBe(5)
    const { editId } = JSON.parse(stderr) as { editId: string }
    server.setSwitches({ down: false })
    const found = await runTool('get', '--edit', editId)
    expect(found).toMatchObject({ code: 0, stdout: 'accepted desk as version 1\n' })
  })
})

describe('status', () => {
  test('names the node that does not respond and ends with exit code 4', async () => {
    await applyNew('desk')
    const addresses = { inbound: '127.0.0.1:1', peer: '127.0.0.1:1', admin: '127.0.0.1:1' }
    const value = { host: 'host-001', zone: 'a', region: 'r', ...addresses, incarnation: 1, sequence: 1, state: 'serving', targets: [] }
    server.objects.write({ kind: 'host', name: 'host-001', expected: 0, value })
    const { code, stdout } = await runTool('status')
    expect(stdout).toContain('in force on 0 of 1 nodes')
    expect(stdout).toContain('no response: host-001 in a')
    expect(code).toBe(4)
  })

  test('without a node it ends with exit code 4', async () => {
    await applyNew('desk')
    expect(await runTool('status')).toMatchObject({ code: 4, stdout: expect.stringContaining('in force on 0 of 0 nodes') as unknown as string })
  })

  test('an object that was written without the tool and is not an edit is listed as invalid, and an edit replaces it', async () => {
    server.objects.write({ kind: 'service', name: 'desk', expected: 0, value: 'text' })
    expect((await runTool('list')).stdout).toContain('desk\tversion 1\tinvalid')
    expect((await applyNew('desk')).version).toBe(2)
  })
})

describe('delete, history and get', () => {
  test('a service that another refers to cannot be deleted, and a deleted service is recreated at a higher version', async () => {
    const gallery = await applyNew('gallery')
    await applyNew('desk', ['gallery'])
    expect(await runTool('delete', 'gallery')).toMatchObject({ code: 1, stderr: expect.stringContaining('still referred to by desk') as unknown as string })
    expect((await runTool('delete', 'desk')).code).toBe(0)
    expect((await runTool('delete', 'gallery')).code).toBe(0)
    expect((await runTool('get', 'gallery')).code).toBe(6)
    expect((await runTool('delete', 'gallery')).code).toBe(6)
    expect((await applyNew('gallery')).version).toBeGreaterThan(gallery.version)
  })

  test('the history lists edits newest first, and get prints any of them', async () => {
    const first = await applyNew('desk')
    await makeFile('desk.yaml', `${formatDocument('desk')}zones: any\n`)
    await runTool('apply', join(folder, 'desk.yaml'))
    const { stdout } = await runTool('history', 'desk', '--json')
    const history = JSON.parse(stdout) as Array<{ version: number, editId: string }>
    expect(history).toHaveLength(2)
    expect(history[1]).toMatchObject({ version: first.version, editId: first.editId })
    expect((await runTool('get', 'desk', '--version', String(first.version))).stdout).toContain('zones: same-first')
    expect((await runTool('get', 'desk')).stdout).toContain('zones: any')
    expect((await runTool('get', 'desk', '--version', '999')).code).toBe(6)
    expect((await runTool('get', '--edit', first.editId, '--json')).stdout).toBe(`${JSON.stringify({ service: 'desk', version: first.version, editId: first.editId })}\n`)
  })
})
