import { print } from '../report.js';
import { fitLine } from './fit.js';
import type { Fit, Point } from './fit.js';

/** A value measured at several sizes, with the line fitted to it. */
export interface Slope {
  readonly name: string;
  readonly perWhat: string;
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** Measures a value at each size, fits a line, and prints the line and the points. */
export async function measureSlope(
  name: string,
  perWhat: string,
  unit: string,
  sizes: readonly number[],
  valueAt: (size: number) => Promise<number> | number,
): Promise<Slope> {
  const points: Point[] = [];
  for (const size of sizes) points.push({ size, value: await valueAt(size) });
  return fitSlope(name, perWhat, unit, points);
}

/** Fits a line to points that are already measured, and prints the line and the points. */
export function fitSlope(
  name: string,
  perWhat: string,
  unit: string,
  points: readonly Point[],
): Slope {
  const fit = fitLine(points);
  const pointTexts = points.map(({ size, value }) => `${String(size)}: ${value.toPrecision(4)}`);
  print(
    `${name}: ${fit.slope.toPrecision(3)} ${unit} per ${perWhat}, ` +
      `${fit.intercept.toPrecision(3)} at size 0, RMS error ${fit.error.toPrecision(2)} (${pointTexts.join(', ')})`,
  );
  return { name, perWhat, unit, points, fit };
}
