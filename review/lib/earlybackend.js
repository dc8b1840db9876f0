/**
 * A stand-in for a backend that answers a part of the long requests before it has read them, keeps the connection and reads on later. It
 * reads requests from its sockets itself, so that it sees each byte that comes where the rest of a body is due.
 */
import { createServer } from 'node:net'
import { Backend } from './backend.js'

const HEAD_END = '\r\n\r\n'
const READS_ON_AFTER_MS = 200
const ENDS_ANSWER_AFTER_MS = 400

export class EarlyBackend extends Backend {
  /** `isEarly` tells whether a request is answered early; `onBody` is called with each body that came to its end. */
  constructor ({ isEarly, onBody, ...options }) {
    super(options)
    Object.assign(this, { isEarly, onBody })
  }

  makeServer () {
    return createServer(socket => {
      const reader = new RequestReader(this, socket)
      socket.on('data', data => { reader.read(data) })
      socket.on('error', () => {})
    })
  }
}

class RequestReader {
  constructor (backend, socket) {
    Object.assign(this, { backend, socket })
    this.data = Buffer.alloc(0)
    this.request = undefined
  }

  read (data) {
    this.data = Buffer.concat([this.data, data])
    while (this.request === undefined ? this.readHead() : this.readBody());
  }

  readHead () {
    const end = this.data.indexOf(HEAD_END)
    if (end < 0) return false
    const [first, ...lines] = this.data.subarray(0, end).toString('latin1').split('\r\n')
    this.data = this.data.subarray(end + HEAD_END.length)
    const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    const isChunked = headers['transfer-encoding'] === 'chunked'
    this.request = {
      path: first.split(' ')[1], attempt: headers['x-attempt-id'], isChunked, left: Number(headers['content-length'] ?? 0), parts: [], isAnswered: false
    }
    if (headers['x-target-instance'] === this.backend.id && this.backend.isEarly(this.request)) this.answerEarly()
    return true
  }

  /** The backend is full: it rejects the request, and its answer comes in two pieces. */
  answerEarly () {
    const { request, socket } = this
    request.isAnswered = true
    this.backend.onEarly?.(request)
    const text = 'this backend is full'
    socket.write(`HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ${request.attempt}\r\nX-Not-Executed: 1\r\nContent-Length: ${text.length}\r\n\r\n`)
    socket.pause()
    setTimeout(() => { socket.resume() }, READS_ON_AFTER_MS)
    setTimeout(() => { if (!socket.destroyed) socket.write(text) }, ENDS_ANSWER_AFTER_MS)
  }

  /** Returns true when the body has come to its end. */
  readBody () {
    const isEnded = this.request.isChunked ? this.readChunks() : this.readLength()
    if (!isEnded) return false
    const { request } = this
    this.request = undefined
    this.backend.onBody(request, Buffer.concat(request.parts))
    if (!request.isAnswered) this.answer(request)
    return true
  }

  readLength () {
    const part = this.data.subarray(0, this.request.left)
    this.data = this.data.subarray(part.length)
    this.request.left -= part.length
    this.request.parts.push(part)
    return this.request.left === 0
  }

  readChunks () {
    while (true) {
      const end = this.data.indexOf('\r\n')
      if (end < 0) return false
      const size = parseInt(this.data.subarray(0, end).toString('latin1'), 16)
      if (this.data.length < end + 2 + size + 2) return false
      this.request.parts.push(Buffer.from(this.data.subarray(end + 2, end + 2 + size)))
      this.data = this.data.subarray(end + 2 + size + 2)
      if (size === 0) return true
    }
  }

  answer ({ attempt }) {
    const text = `answer to ${attempt}`
    this.socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Signature: ${this.backend.id}.${attempt}\r\n` +
      `Content-Length: ${text.length}\r\n\r\n${text}`)
  }
}
