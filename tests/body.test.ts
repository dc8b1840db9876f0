/**
 * Guards against a body that ends at a target as if it were complete although its sender has sent more, when the attempt that sends it
 * ends early: after an early rejection, for another attempt, or with the rest discarded.
 */
import { once } from 'node:events'
import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, test } from '@jest/globals'
import { DEFAULT_BUFFER_BYTES, RequestBody } from '../src/request/body.js'

const FIRST = Buffer.alloc(DEFAULT_BUFFER_BYTES + 1, 'a')
const NEXT = Buffer.from('next')

function makeMessage (headers: Record<string, string>): IncomingMessage {
  const message = new IncomingMessage(new Socket())
  message.headers = headers
  return message
}

/** Returns the body of a request, and the stream of its first attempt after the first bytes of it were sent. */
async function sendFirstBytes (headers: Record<string, string> = { 'transfer-encoding': 'chunked' }) {
  const message = makeMessage(headers)
  const body = new RequestBody(message, new ServerResponse(message))
  message.push(FIRST)
  const stream = body.open() as Readable
  const received: Buffer[] = []
  stream.on('data', (chunk: Buffer) => { received.push(chunk) })
  await once(stream, 'data')
  return { message, body, stream, received }
}

async function awaitOutcome (stream: Readable): Promise<'ended' | 'failed'> {
  return await new Promise(resolve => {
    stream.once('end', () => { resolve('ended') })
    stream.once('error', () => { resolve('failed') })
  })
}

describe.each([['its attempt ends', (body: RequestBody) => { body.release() }], ['the rest is discarded', (body: RequestBody) => { body.discardRest() }]])(
  'a body of which more is to come fails when %s', (_name, detach) => {
    test.each([['as more of it comes', NEXT], ['as its end comes', null]])('%s', async (_when, chunk) => {
      const { message, body, stream } = await sendFirstBytes()
      const outcome = awaitOutcome(stream)
      detach(body)
      message.push(chunk)
      expect(await outcome).toBe('failed')
    })
  })

test('a body that is sent to its end ends', async () => {
  const { message, stream, received } = await sendFirstBytes()
  const outcome = awaitOutcome(stream)
  message.push(NEXT)
  await nextTurn()
  message.push(null)
  expect(await outcome).toBe('ended')
  expect(Buffer.concat(received)).toEqual(Buffer.concat([FIRST, NEXT]))
})

test('a body whose sender leaves fails', async () => {
  const { message, stream } = await sendFirstBytes()
  const outcome = awaitOutcome(stream)
  message.destroy(new Error('aborted'))
  expect(await outcome).toBe('failed')
})
