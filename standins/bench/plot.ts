/**
 * Plots of docs/measurements.md from the files that `bench convergence --json` wrote: one line for each version measured.
 * `plot.js OUT_FOLDER NAME=FILE…`.
 */
import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { parse, View } from 'vega'
import { compile } from 'vega-lite'
import type { TopLevelSpec } from 'vega-lite'
import type { ConvergenceRow } from './convergence.js'

interface Point { version: string, nodes: number, value: number }

const PLOTS = [
  { file: 'convergence.svg', title: 'p99 from an accepted edit to in force on every node, 8 edits/s (ms)', read: (row: ConvergenceRow) => row.load.p99 },
  { file: 'region-bytes.svg', title: 'Bytes between regions for one edit, all links', read: (row: ConvergenceRow) => row.regionBytesPerEdit },
  { file: 'platform-bytes.svg', title: 'Platform bytes between regions, idle (B/s)', read: (row: ConvergenceRow) => row.idlePlatformBytesPerSecond }
]

async function loadRows (argument: string): Promise<Array<{ version: string, row: ConvergenceRow }>> {
  const [version = '', file = ''] = argument.split('=')
  const rows = JSON.parse(await readFile(file, 'utf8')) as ConvergenceRow[]
  return rows.map(row => ({ version, row }))
}

async function formatPlot (title: string, points: Point[]): Promise<string> {
  const spec: TopLevelSpec = {
    title,
    width: 480,
    height: 260,
    background: 'white',
    data: { values: points },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'nodes', type: 'quantitative', title: 'nodes' },
      y: { field: 'value', type: 'quantitative', title: null },
      color: { field: 'version', type: 'nominal' }
    }
  }
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
}

const [folder = '.', ...sources] = process.argv.slice(2)
const loaded = (await Promise.all(sources.map(loadRows))).flat()
for (const { file, title, read } of PLOTS) {
  const points = loaded.map(({ version, row }) => ({ version, nodes: row.nodes, value: read(row) }))
  await writeFile(join(folder, file), await formatPlot(title, points))
}
