import type { Slope } from './slope.js';

const COLUMNS = 3;
const CELL_WIDTH = 320;
const CELL_HEIGHT = 200;
const MARGIN = 40;

function renderCell(slope: Slope, index: number): string {
  const left = (index % COLUMNS) * CELL_WIDTH;
  const top = Math.floor(index / COLUMNS) * CELL_HEIGHT;
  const maxSize = Math.max(...slope.points.map(({ size }) => size));
  const valueOnLine = (size: number) => slope.fit.intercept + slope.fit.slope * size;
  const most = Math.max(valueOnLine(maxSize), ...slope.points.map(({ value }) => value)) || 1;
  const x = (size: number) => left + MARGIN + (size / maxSize) * (CELL_WIDTH - 2 * MARGIN);
  const y = (value: number) =>
    top + CELL_HEIGHT - MARGIN - (Math.max(0, value) / most) * (CELL_HEIGHT - 2 * MARGIN);
  const dots = slope.points.map(
    ({ size, value }) =>
      `<circle cx="${x(size).toFixed(1)}" cy="${y(value).toFixed(1)}" r="3" fill="#1b6ca8"/>`,
  );
  const text = (dx: number, dy: number, content: string) =>
    `<text x="${String(left + dx)}" y="${String(top + dy)}">${content}</text>`;
  return [
    `<line x1="${x(0).toFixed(1)}" y1="${y(valueOnLine(0)).toFixed(1)}" x2="${x(maxSize).toFixed(1)}" ` +
      `y2="${y(valueOnLine(maxSize)).toFixed(1)}" stroke="#c0392b"/>`,
    ...dots,
    text(10, 16, slope.name),
    text(10, 30, `${slope.fit.slope.toPrecision(3)} ${slope.unit} per ${slope.perWhat}`),
    text(MARGIN, CELL_HEIGHT - 20, '0'),
    text(CELL_WIDTH - MARGIN - 20, CELL_HEIGHT - 20, String(maxSize)),
    text(4, MARGIN + 10, most.toPrecision(3)),
  ].join('');
}

/** Renders all slopes as SVG, each with its points and fitted line. */
export function renderSlopeChart(slopes: readonly Slope[]): string {
  const rows = Math.ceil(slopes.length / COLUMNS);
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${String(COLUMNS * CELL_WIDTH)}" ` +
    `height="${String(rows * CELL_HEIGHT)}" font-family="sans-serif" font-size="10">` +
    `<rect width="100%" height="100%" fill="white"/>${slopes.map(renderCell).join('')}</svg>\n`
  );
}
