/** Types of modules within undici, which declares types for its index only. */
declare module 'undici/lib/api/api-request.js' {
  import type { Dispatcher } from 'undici'
  const request: Dispatcher['request']
  export default request
}

declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici'
  export default Client
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  const dispatcher: { prototype: object }
  export default dispatcher
}

declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici'
  export default Pool
}
