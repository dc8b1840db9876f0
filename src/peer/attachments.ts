/**
 * Which hosts are subscribed here, counted by stream: a host that comes back may open its new
 * stream before its old one is seen to end.
 */
export class Attachments {
  private readonly streams = new Map<string, number>()

  has (host: string): boolean {
    return this.streams.has(host)
  }

  /** The task of each stream calls `begin` at its start and `end` at its end. */
  begin (host: string): void {
    this.streams.set(host, (this.streams.get(host) ?? 0) + 1)
  }

  end (host: string): void {
    const left = (this.streams.get(host) ?? 0) - 1
    if (left > 0) this.streams.set(host, left)
    else this.streams.delete(host)
  }
}
