/**
 * `comfreyspoke drain`: tells the node of a host to accept no new requests.
 */
import { defineCommand } from 'citty'
import { makeFault } from '../../core/index.js'
import { JSON_FLAG, openPeerClient, TLS_FLAGS } from '../flags.js'
import { printResult, reportFaults } from '../output.js'

export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Tell a host to take no new work; requests in flight end.' },
  args: {
    peer: { type: 'positional', required: true, description: 'peer address of the host\'s node, ip:port' },
    token: { type: 'string', description: 'operator token [COMFREYSPOKE_OPERATOR_TOKEN]' },
    ...TLS_FLAGS,
    ...JSON_FLAG
  },
  run: async ({ args }) => {
    const client = await openPeerClient(args)
    const token = args.token ?? process.env.COMFREYSPOKE_OPERATOR_TOKEN
    const response = await client.drainHost(args.peer, token === undefined ? {} : { token })
    client.close()
    if (response.err) reportFaults(args.json, [response.val])
    else if (!response.val.accepted) reportFaults(args.json, [makeFault('refused', response.val.message)])
    else printResult(args.json, response.val, response.val.message)
  }
})
