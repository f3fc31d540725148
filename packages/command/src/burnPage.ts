/**
 * Renders the burn report as a self-contained HTML page with SVG plots.
 */
import * as scales from 'd3-scale';
import * as shapes from 'd3-shape';

import type * as burnReport from './burnReport.js';

const WIDTH = 640;
const HEIGHT = 140;
const MARGIN = 32;

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function renderPlot(objective: burnReport.ObjectiveBurn): string {
  const { series } = objective;
  const highest = Math.max(2, ...series.map((point) => point.burn));
  const x = scales.scaleLinear([0, series.length - 1], [MARGIN, WIDTH - 8]);
  const y = scales.scaleLinear([0, highest], [HEIGHT - 20, 8]).nice();
  const line = shapes
    .line<{ readonly burn: number }>()
    .x((_point, position) => x(position))
    .y((point) => y(point.burn));
  const ticks = y
    .ticks(4)
    .map(
      (tick) =>
        `<text x="4" y="${y(tick) + 4}">${tick}</text><path class="grid" d="M${MARGIN},${y(tick)}H${WIDTH - 8}"/>`,
    )
    .join('');
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="Burn of ${escapeHtml(objective.name)} by minute">`,
    ticks,
    `<path class="budget" d="M${MARGIN},${y(1)}H${WIDTH - 8}"/>`,
    `<path class="burn" d="${line([...series]) ?? ''}"/>`,
    `<text x="${MARGIN}" y="${HEIGHT - 4}">an hour ago</text><text x="${WIDTH - 40}" y="${HEIGHT - 4}">now</text>`,
    '</svg>',
  ].join('');
}

function renderSection(objective: burnReport.ObjectiveBurn): string {
  const { name, objective: body, windows } = objective;
  const cells = windows
    .map(
      (window) =>
        `<td class="${window.burn > 1 ? 'over' : ''}">${window.burn.toFixed(2)} <small>${window.window}, ${window.bad} of ${window.good + window.bad} bad</small></td>`,
    )
    .join('');
  const target = `${body.urgency} ${body.measure} under ${body.threshold} ms for ${(body.share * 100).toFixed(2)}%`;
  return `<section><h2>${escapeHtml(name)}</h2><p>${escapeHtml(target)}</p><table><tr>${cells}</tr></table>${renderPlot(objective)}</section>`;
}

const STYLE =
  'body{font:14px sans-serif;max-width:720px;margin:2em auto}svg{width:100%}text{font-size:10px;fill:#555}' +
  '.grid{stroke:#eee}.budget{stroke:#b00;stroke-dasharray:4}.burn{stroke:#06c;fill:none;stroke-width:1.5}' +
  'td{padding:4px 16px 4px 0}.over{color:#b00;font-weight:bold}small{color:#555;font-weight:normal}';

/**
 * Renders the HTML page.
 *
 * @param report - the report
 * @returns the HTML document
 * @example
 * ```ts
 * fs.writeFileSync('burn.html', burnPage.render(report));
 * ```
 */
export function render(report: readonly burnReport.ObjectiveBurn[]): string {
  const sections = report.map(renderSection).join('');
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title><style>${STYLE}</style><h1>Service-level burn</h1><p>Share of bad calls divided by the share that the objective allows; the dashed line marks a burn rate of 1.</p>${sections}</html>\n`;
}
