/**
 * `comfreyspoke explain`: prints what one node, or each node of a zone, would do now with a request, and why. Sends no request to a target.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { defineCommand } from 'citty'
import { hashKey } from '../../account/index.js'
import { describeError, Err, makeFault, Ok } from '../../core/index.js'
import type { Fault, Result } from '../../core/index.js'
import type { PeerClient } from '../../peer/index.js'
import type { ExplainRequest, ExplainResponse } from '../../request/index.js'
import { EXIT } from '../exit.js'
import { COMMON_FLAGS, openPeerClient, openStore, TLS_FLAGS } from '../flags.js'
import type { TlsFlags } from '../flags.js'
import { listHosts, queryHosts } from '../hosts.js'
import { printResult, reportFaults } from '../output.js'

const STANDARD_INPUT = '-'

interface RequestFlags { 'url-host'?: string | undefined, path: string, method: string, bytes: string, deadline?: string | undefined, 'key-file'?: string | undefined }

interface NodeFlags { node?: string | undefined, zone?: string | undefined, platform?: string | undefined }

type Answer = Result<ExplainResponse, Fault>

function parseCount (name: string, flag: string): Result<number, Fault> {
  return /^[0-9]{1,15}$/.test(flag) ? Ok(Number(flag)) : Err(makeFault('usage', `--${name} is not a whole number`, { expected: 'a whole number, 0 or above', found: flag }))
}

/** Arguments are visible to other users of the machine, so the key is read from a file or standard input. */
async function readKeyHash (file: string): Promise<Result<string, Fault>> {
  try {
    const key = (file === STANDARD_INPUT ? await text(process.stdin) : await readFile(file, 'utf8')).trim()
    return key === '' ? Err(makeFault('usage', '--key-file has no key')) : Ok(hashKey(key))
  } catch (error) {
    return Err(makeFault('usage', `--key-file: ${describeError(error)}`))
  }
}

async function makeRequest (flags: RequestFlags): Promise<Result<ExplainRequest, Fault>> {
  const { 'url-host': host } = flags
  if (host === undefined) return Err(makeFault('usage', '--url-host is missing'))
  const bodyBytes = parseCount('bytes', flags.bytes)
  if (bodyBytes.err) return bodyBytes
  const deadlineMs = flags.deadline === undefined ? Ok(undefined) : parseCount('deadline', flags.deadline)
  if (deadlineMs.err) return deadlineMs
  const keyHash = flags['key-file'] === undefined ? Ok(undefined) : await readKeyHash(flags['key-file'])
  if (keyHash.err) return keyHash
  return Ok({
    method: flags.method.toUpperCase(),
    path: flags.path,
    host,
    bodyBytes: bodyBytes.val,
    ...keyHash.val === undefined ? {} : { keyHash: keyHash.val },
    ...deadlineMs.val === undefined ? {} : { deadlineMs: Math.max(1, deadlineMs.val) }
  })
}

async function queryNodes (client: PeerClient, { node, zone, platform }: NodeFlags, request: ExplainRequest): Promise<Result<Answer[], Fault>> {
  if (node !== undefined) return Ok([await client.queryExplanation(node, request)])
  const store = openStore(platform)
  const hosts = await listHosts(store)
  await store.close()
  if (hosts.err) return hosts
  const ofZone = hosts.val.filter(host => host.zone === zone)
  if (ofZone.length === 0) return Err(makeFault('missing', `no host is in zone ${zone ?? ''}`))
  return Ok(await queryHosts(ofZone, async ({ peer }) => await client.queryExplanation(peer, request)))
}

async function explain (flags: RequestFlags & NodeFlags & TlsFlags): Promise<Result<Answer[], Fault>> {
  if ((flags.node === undefined) === (flags.zone === undefined)) return Err(makeFault('usage', 'give one of --node and --zone'))
  const request = await makeRequest(flags)
  if (request.err) return request
  const client = await openPeerClient(flags)
  const answers = await queryNodes(client, flags, request.val)
  client.close()
  return answers
}

function formatMs (ms: number): string {
  return `${Math.round(ms)} ms`
}

function formatCandidate ({ target, zone, state, delayMs, parts, isCandidate }: NonNullable<ExplainResponse['candidates']>[number]): string {
  const { serviceMs, queueMs, failureMs, distanceMs } = parts
  const sum = `service ${formatMs(serviceMs)} + queue ${formatMs(queueMs)} + failures ${formatMs(failureMs)} + distance ${formatMs(distanceMs)}`
  return `  ${isCandidate ? '*' : ' '} ${target}\t${zone}\t${state}\t${formatMs(delayMs)} = ${sum}`
}

function formatAction ({ action }: ExplainResponse): string {
  if (action.kind === 'send') return `send to ${action.targets.join(' or ')}, expected wait ${formatMs(action.waitMs)}`
  const { status, code, message, verdict } = action.failure
  return `refuse with ${status} ${code} (${verdict}): ${message}`
}

function formatSection (name: string, section: Record<string, unknown> | undefined): string[] {
  return section === undefined ? [] : [`${name}: ${Object.entries(section).map(([key, value]) => `${key} ${String(value)}`).join(', ')}`]
}

function formatAnswer (response: ExplainResponse): string {
  const { node, zone, version, account, route, service, candidates, quota, rollout } = response
  return [
    `${node} in ${zone}, configuration ${version}: ${formatAction(response)}`,
    `account: ${account === undefined ? 'none' : `${account.name}${account.class === undefined ? '' : `, class ${account.class}`}`}`,
    ...formatSection('quota', quota),
    ...route === undefined
      ? []
      : [`route: ${route.document} ${route.name} (version ${route.version}), ${route.kind}, class ${route.class}, deadline ${formatMs(route.deadlineMs)}`],
    ...service === undefined ? [] : [`service: ${service}`],
    ...formatSection('rollout', rollout),
    ...candidates === undefined ? [] : ['candidates (* may be picked):', ...candidates.map(formatCandidate)]
  ].join('\n')
}

export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Show what a node would do now with a request, and why. Sends no request to a target.' },
  args: {
    'url-host': { type: 'string', description: 'the Host header of the request' },
    path: { type: 'string', default: '/', description: 'path of the request' },
    method: { type: 'string', default: 'GET', description: 'method of the request' },
    bytes: { type: 'string', default: '0', description: 'length of the body' },
    deadline: { type: 'string', description: 'deadline that the caller sets, in milliseconds' },
    'key-file': { type: 'string', description: 'file with the key of the account, - for standard input' },
    node: { type: 'string', description: 'peer address of the node to ask' },
    zone: { type: 'string', description: 'zone whose nodes are asked' },
    ...TLS_FLAGS,
    ...COMMON_FLAGS
  },
  run: async ({ args }) => {
    const answers = await explain(args)
    if (answers.err) return reportFaults(args.json, [answers.val])
    for (const answer of answers.val) if (answer.ok) printResult(args.json, answer.val, formatAnswer(answer.val))
    const faults = answers.val.flatMap(answer => answer.err ? [answer.val] : [])
    if (faults.length === 0) return
    reportFaults(args.json, faults)
    process.exitCode = EXIT.unreachable
  }
})
