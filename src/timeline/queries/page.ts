/**
 * The timeline as one self-contained HTML file, with a lane for each process and the events by time.
 */
import type { EventKind, TimelineEvent } from '../schema.js'
import { formatEvent } from './format.js'

const LANE_HEIGHT_PX = 26
const LABEL_WIDTH_PX = 170
const CHART_WIDTH_PX = 1200
const TICK_INTERVALS = 8

const EVENT_COLOURS: Partial<Record<EventKind, string>> = {
  'document-applied': '#2a7f3f',
  'document-staged': '#8fc9a0',
  'document-held': '#d9a400',
  'document-refused': '#c0392b',
  'source-back': '#7d5ba6',
  'source-lost': '#b98fd6',
  'call-failed': '#e67e22',
  'node-started': '#000000',
  'node-stopping': '#555555',
  'target-joined': '#c8c8c8',
  'target-leaving': '#e8b563'
}
const OTHER_COLOUR = '#888888'

interface Scale { from: number, span: number }

export function formatHtmlPage (events: readonly TimelineEvent[]): string {
  const lanes = [...new Set(events.map(event => event.node))].sort()
  const from = events[0]?.wall ?? 0
  const scale = { from, span: Math.max(1, (events.at(-1)?.wall ?? 0) - from) }
  const height = (lanes.length + 1) * LANE_HEIGHT_PX
  const marks = events.map(event => formatMark(event, lanes.indexOf(event.node), scale)).join('\n')
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>comfreyspoke timeline</title>
<style>
body { font: 14px sans-serif; margin: 16px; }
svg { border: 1px solid #ccc; }
text { font: 12px sans-serif; }
pre { font: 12px monospace; white-space: pre-wrap; }
.legend span { display: inline-block; margin-right: 14px; }
.legend i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 4px; }
</style>
</head>
<body>
<h1>Timeline: ${events.length} events of ${lanes.length} processes</h1>
<p>Hover over an event for its text. The list below has the same events in order.</p>
<p class="legend">${formatLegend(events)}</p>
<svg width="${LABEL_WIDTH_PX + CHART_WIDTH_PX + 20}" height="${height}">
${formatTicks(scale, height)}
${lanes.map(formatLane).join('\n')}
${marks}
</svg>
<pre>${events.map(event => escapeText(formatEvent(event))).join('\n')}</pre>
</body>
</html>
`
}

function formatLegend (events: readonly TimelineEvent[]): string {
  const kinds = [...new Set(events.map(event => event.kind))].sort()
  return kinds.map(kind => `<span><i style="background:${EVENT_COLOURS[kind] ?? OTHER_COLOUR}"></i>${kind}</span>`).join('')
}

function computeX (wall: number, { from, span }: Scale): number {
  return LABEL_WIDTH_PX + (wall - from) / span * CHART_WIDTH_PX
}

function formatTicks (scale: Scale, height: number): string {
  return Array.from({ length: TICK_INTERVALS + 1 }, (_, index) => {
    const wall = scale.from + scale.span * index / TICK_INTERVALS
    const x = computeX(wall, scale)
    const anchor = index === TICK_INTERVALS ? 'end' : 'middle'
    const label = `<text x="${x}" y="14" text-anchor="${anchor}">${new Date(wall).toISOString().slice(11, 23)}</text>`
    return `<line x1="${x}" x2="${x}" y1="18" y2="${height}" stroke="#eee"/>${label}`
  }).join('\n')
}

function formatLane (node: string, index: number): string {
  const y = computeY(index)
  return `<text x="6" y="${y + 4}">${escapeText(node)}</text><line x1="${LABEL_WIDTH_PX}" x2="${LABEL_WIDTH_PX + CHART_WIDTH_PX}" y1="${y}" y2="${y}" stroke="#ddd"/>`
}

function formatMark (event: TimelineEvent, lane: number, scale: Scale): string {
  const colour = EVENT_COLOURS[event.kind] ?? OTHER_COLOUR
  return `<circle cx="${computeX(event.wall, scale).toFixed(1)}" cy="${computeY(lane)}" r="5" fill="${colour}" fill-opacity="0.8"><title>${escapeText(formatEvent(event))}</title></circle>`
}

function computeY (lane: number): number {
  return (lane + 1) * LANE_HEIGHT_PX + LANE_HEIGHT_PX / 2 - 4
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
