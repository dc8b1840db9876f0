/**
 * The last versions of the configuration that a node had in force. With them it tells a peer what changed since the version of that
 * peer, instead of sending all documents. Versions share the routes that they have in common, so they take little memory.
 */
import type { Configuration } from './schema.js'

const MAX_VERSIONS = 16

export class ConfigurationHistory {
  /** By version, the oldest first. */
  private readonly configurations = new Map<number, Configuration>()

  add (configuration: Configuration): void {
    this.configurations.set(configuration.version, configuration)
    const [oldest] = this.configurations.keys()
    if (this.configurations.size > MAX_VERSIONS && oldest !== undefined) this.configurations.delete(oldest)
  }

  find (version: number): Configuration | undefined {
    return this.configurations.get(version)
  }
}
