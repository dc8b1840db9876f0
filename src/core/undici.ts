/**
 * The parts of undici that a node needs. The index of the package also loads fetch, WebSocket and caches, which take a fifth of the
 * processor time that a node needs to start. As the index does, this module adds `request` to all dispatchers.
 */
import request from 'undici/lib/api/api-request.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, { request })

export { default as Client } from 'undici/lib/dispatcher/client.js'
export { default as Pool } from 'undici/lib/dispatcher/pool.js'
