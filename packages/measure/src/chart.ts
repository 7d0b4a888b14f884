import type { LoadSample } from '@poppypond/load';

const WIDTH = 900;
const HEIGHT = 420;
const MARGIN = 60;
const MIN_TOKENS = 800;
const MAX_TOKENS = 1_000_000;
const MIN_MS = 1;
const MAX_MS = 60_000;
const COLOURS = [
  '#1b6ca8',
  '#c0392b',
  '#d68910',
  '#7d3c98',
  '#148f77',
  '#566573',
  '#a04000',
  '#2e4053',
];

function scaleLog(value: number, low: number, high: number, from: number, to: number): number {
  const fraction = (Math.log(value) - Math.log(low)) / (Math.log(high) - Math.log(low));
  return from + Math.min(1, Math.max(0, fraction)) * (to - from);
}

function xOf(tokens: number): number {
  return scaleLog(tokens, MIN_TOKENS, MAX_TOKENS, MARGIN, WIDTH - MARGIN);
}

function yOf(milliseconds: number): number {
  return scaleLog(Math.max(MIN_MS, milliseconds), MIN_MS, MAX_MS, HEIGHT - MARGIN, MARGIN);
}

function renderDots(samples: readonly LoadSample[], colour: string): string {
  return samples
    .flatMap(({ promptTokens, firstTokenMs }) =>
      firstTokenMs === undefined
        ? []
        : [
            `<circle cx="${xOf(promptTokens).toFixed(1)}" cy="${yOf(firstTokenMs).toFixed(1)}" ` +
              `r="1.6" fill="${colour}" fill-opacity="0.45"/>`,
          ],
    )
    .join('');
}

function renderAxes(): string {
  const xLabels = [1000, 10_000, 100_000, 1_000_000].map(
    (tokens) =>
      `<text x="${xOf(tokens).toFixed(0)}" y="${String(HEIGHT - MARGIN + 18)}" ` +
      `text-anchor="middle">${String(tokens)}</text>`,
  );
  const yLabels = [1, 10, 100, 1000, 10_000].map(
    (ms) =>
      `<text x="${String(MARGIN - 8)}" y="${yOf(ms).toFixed(0)}" text-anchor="end">${String(ms)}</text>`,
  );
  return [
    ...xLabels,
    ...yLabels,
    `<text x="${String(WIDTH / 2)}" y="${String(HEIGHT - 12)}" text-anchor="middle">prompt length in tokens</text>`,
    `<text x="16" y="${String(HEIGHT / 2)}" transform="rotate(-90 16 ${String(HEIGHT / 2)})" text-anchor="middle">time to first token in ms</text>`,
  ].join('');
}

/** Renders the time to first token by prompt length as SVG, with one colour per variant. */
export function renderChartByLength(byVariant: ReadonlyMap<string, readonly LoadSample[]>): string {
  const parts = [...byVariant].map(([name, samples], index) => {
    const colour = COLOURS[index % COLOURS.length] ?? '#000000';
    const label = `<text x="${String(MARGIN + 10)}" y="${String(MARGIN + 14 * index)}" fill="${colour}">${name}</text>`;
    return renderDots(samples, colour) + label;
  });
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${String(WIDTH)}" height="${String(HEIGHT)}" ` +
    `font-family="sans-serif" font-size="11"><rect width="100%" height="100%" fill="white"/>` +
    `${renderAxes()}${parts.join('')}</svg>\n`
  );
}
