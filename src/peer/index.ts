/**
 * gRPC between nodes and from the operator's tool: messages, codec, client and server.
 */
export { MsgpackCodec, Codec } from './codec.js'
export { loadCredentials } from './credentials.js'
export type { PeerCredentials, TlsFiles } from './credentials.js'
export { Dialer } from './dialer.js'
export { PeerTransport } from './transport.js'
export { PeerClient } from './client.js'
export { ControlMeter, findLink } from './meter.js'
export type { ControlMessage, CountMessage, Link, Location } from './meter.js'
export { startPeerServer } from './server.js'
export type { PeerHandlers } from './server.js'
export type { DrainResponse, DrainRequest, ExchangeResponse, ExchangeRequest, StatusResponse } from './messages.js'
