/** A value measured at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line fitted to points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square distance of the points from the line, in the unit of the values. */
  readonly error: number;
}

/** Fits a line by least squares. The slope is 0 if all points have the same size. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  let [covariance, variance] = [0, 0];
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const squaredErrors = points.reduce(
    (sum, { size, value }) => sum + (value - intercept - slope * size) ** 2,
    0,
  );
  return { slope, intercept, error: Math.sqrt(squaredErrors / count) };
}
