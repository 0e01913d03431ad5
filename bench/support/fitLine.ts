/** Fits a line to (x, y) points by least squares; the slope is 0 if all x are equal. */
interface Fit {
  readonly slope: number;
  readonly intercept: number;
}

export default function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope =
    spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread;
  return { slope, intercept: meanY - slope * meanX };
}
