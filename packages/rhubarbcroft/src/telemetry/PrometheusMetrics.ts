/** Keeps the metrics in the process, to be scraped in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import Metrics from './Metrics.js';

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'rhubarbcroft_';
/** Span from the duration of a call inside a failure domain to the longest deadline that users require. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 10_000];

function formatMetricName(name: string): string {
  return `${PREFIX}${name.replace(/\W/g, '_')}`;
}

export default class PrometheusMetrics extends Metrics {
  readonly #registry = new Registry();

  override increment(name: string, tags: Tags = {}): void {
    const counter = this.#findOrCreate(name, (options) => new Counter(options), tags) as Counter;
    counter.inc(tags);
  }

  override timing(name: string, valueMs: number, tags: Tags = {}): void {
    const histogram = this.#findOrCreate(
      `${name}_ms`,
      (options) => new Histogram({ ...options, buckets: BUCKETS_MS }),
      tags,
    ) as Histogram;
    histogram.observe(tags, valueMs);
  }

  override gauge(name: string, value: number): void {
    const gauge = this.#findOrCreate(name, (options) => new Gauge(options), {}) as Gauge;
    gauge.set(value);
  }

  override close(): void {
    this.#registry.clear();
  }

  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #findOrCreate(
    name: string,
    create: (options: {
      readonly name: string;
      readonly help: string;
      readonly labelNames: string[];
      readonly registers: Registry[];
    }) => unknown,
    tags: Tags,
  ): unknown {
    const fullName = formatMetricName(name);
    return (
      this.#registry.getSingleMetric(fullName) ??
      create({
        name: fullName,
        help: `See docs/OPERATIONS.md, ${fullName}.`,
        labelNames: Object.keys(tags),
        registers: [this.#registry],
      })
    );
  }
}
