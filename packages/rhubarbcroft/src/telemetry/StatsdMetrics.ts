/** Sends metrics to a StatsD address over UDP. */
import { StatsD } from 'hot-shots';
import Metrics from './Metrics.js';

type Tags = Readonly<Record<string, string>>;

const MAX_BUFFER_BYTES = 1_400;

export default class StatsdMetrics extends Metrics {
  readonly #client: StatsD;

  constructor(address: string, nodeId: string) {
    super();
    const [host, port] = address.split(':');
    this.#client = new StatsD({
      host,
      port: Number(port),
      prefix: 'rhubarbcroft.',
      globalTags: { node: nodeId },
      maxBufferSize: MAX_BUFFER_BYTES,
      errorHandler: () => undefined,
    });
  }

  override increment(name: string, tags: Tags = {}): void {
    this.#client.increment(name, 1, { ...tags });
  }

  override timing(name: string, valueMs: number, tags: Tags = {}): void {
    this.#client.timing(name, valueMs, { ...tags });
  }

  override gauge(name: string, value: number): void {
    this.#client.gauge(name, value);
  }

  override close(): void {
    this.#client.close(() => undefined);
  }
}
