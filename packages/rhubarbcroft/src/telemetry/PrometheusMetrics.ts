/** Keeps counters and latency histograms in the process, to be read as text in the Prometheus format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import Metrics from './Metrics.js';

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'rhubarbcroft_';
/** From a call inside a failure domain to the longest deadline on the users' sheets. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 10_000];

function formatName(name: string): string {
  return `${PREFIX}${name.replace(/\W/g, '_')}`;
}

export default class PrometheusMetrics extends Metrics {
  readonly #registry = new Registry();

  override increment(name: string, tags: Tags = {}): void {
    const counter = this.#find(name, (options) => new Counter(options), tags) as Counter;
    counter.inc(tags);
  }

  override timing(name: string, valueMs: number, tags: Tags = {}): void {
    const histogram = this.#find(
      `${name}_ms`,
      (options) => new Histogram({ ...options, buckets: BUCKETS_MS }),
      tags,
    ) as Histogram;
    histogram.observe(tags, valueMs);
  }

  override gauge(name: string, value: number): void {
    const gauge = this.#find(name, (options) => new Gauge(options), {}) as Gauge;
    gauge.set(value);
  }

  override close(): void {
    this.#registry.clear();
  }

  /** The metrics as text. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #find(
    name: string,
    create: (options: {
      readonly name: string;
      readonly help: string;
      readonly labelNames: string[];
      readonly registers: Registry[];
    }) => unknown,
    tags: Tags,
  ): unknown {
    const fullName = formatName(name);
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
