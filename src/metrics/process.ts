/**
 * Formats the CPU time, memory and uptime of this process under the metric names that scrapers expect, in seconds and bytes.
 */
export function formatProcessMetrics (): string {
  const { user, system } = process.cpuUsage()
  const memory = process.memoryUsage()
  return [
    `process_cpu_seconds_total ${(user + system) / 1_000_000}`,
    `process_resident_memory_bytes ${memory.rss}`,
    `nodejs_heap_used_bytes ${memory.heapUsed}`,
    `process_uptime_seconds ${process.uptime()}`
  ].join('\n') + '\n'
}
