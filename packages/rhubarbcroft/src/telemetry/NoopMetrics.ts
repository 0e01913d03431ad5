/** Discards all metrics; used where no StatsD address is configured. */
import Metrics from './Metrics.js';

export default class NoopMetrics extends Metrics {
  override increment(): void {}

  override timing(): void {}

  override gauge(): void {}

  override close(): void {}
}
