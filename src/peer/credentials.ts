/**
 * Mutual TLS between nodes and for operators, from PEM files that the settings name. Both sides present a
 * certificate of the same certificate authority. Without these files, connections are not encrypted.
 */
import { readFile } from 'node:fs/promises'
import { credentials, ServerCredentials } from '@grpc/grpc-js'
import type { ChannelCredentials } from '@grpc/grpc-js'
import { Err, Ok, describeError, makeFault } from '../core/index.js'
import type { Fault, Result } from '../core/index.js'

export interface TlsFiles { ca?: string | undefined, cert?: string | undefined, key?: string | undefined }

export interface PeerCredentials { server: ServerCredentials, client: ChannelCredentials, encrypted: boolean }

export async function loadCredentials ({ ca, cert, key }: TlsFiles): Promise<Result<PeerCredentials, Fault>> {
  if (ca === undefined && cert === undefined && key === undefined) {
    return Ok({ server: ServerCredentials.createInsecure(), client: credentials.createInsecure(), encrypted: false })
  }
  if (ca === undefined || cert === undefined || key === undefined) {
    return Err(makeFault('bad_setting', 'settings --tls-ca, --tls-cert and --tls-key must be set together'))
  }
  try {
    const [authority, chain, privateKey] = await Promise.all([readFile(ca), readFile(cert), readFile(key)])
    return Ok({
      server: ServerCredentials.createSsl(authority, [{ cert_chain: chain, private_key: privateKey }], true),
      client: credentials.createSsl(authority, privateKey, chain),
      encrypted: true
    })
  } catch (error) {
    return Err(makeFault('bad_setting', `cannot load the TLS files: ${describeError(error)}`))
  }
}
