/**
 * Maps the peer address that a node announces to the address to connect to. The base class returns the
 * address unchanged; a subclass may route through a proxy, such as a slow link in a test bench.
 */
export class Dialer {
  resolve (address: string): string {
    return address
  }
}
