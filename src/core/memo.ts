/**
 * Values that are made at their first use and kept in a map, such as one budget for each service.
 */

/** A `Map`, or a `WeakMap` whose entries go with their keys. */
interface Store<K, V> { get: (key: K) => V | undefined, set: (key: K, value: V) => unknown }

export function getOrMake<K, V> (store: Store<K, V>, key: K, make: () => V): V {
  const existing = store.get(key)
  if (existing !== undefined) return existing
  const made = make()
  store.set(key, made)
  return made
}
