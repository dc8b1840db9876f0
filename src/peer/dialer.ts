/**
 * Where to connect for an address that another node announced. The base class connects to the
 * address itself; a subclass may go through something else, such as a slow link in a test.
 */
export class Dialer {
  resolve (address: string): string {
    return address
  }
}
