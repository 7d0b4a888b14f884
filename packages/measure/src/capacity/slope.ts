import { print } from '../report.js';
import { fitLine } from './fit.js';
import type { Fit, Point } from './fit.js';

/** A measured slope. */
export interface Slope {
  readonly name: string;
  readonly perWhat: string;
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** Measures a value at several sizes, fits a line and prints both. */
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

/** Fits a line through points that are already measured, and prints it. */
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
      `${fit.intercept.toPrecision(3)} at none, error ${fit.error.toPrecision(2)} (${pointTexts.join(', ')})`,
  );
  return { name, perWhat, unit, points, fit };
}
