/** Serves the process's metrics in the Prometheus text format. */
import type HttpExchange from '../callers/HttpExchange.js';
import HttpExchangeServer from '../callers/HttpExchangeServer.js';
import type PrometheusMetrics from '../telemetry/PrometheusMetrics.js';

export default class MetricsServer extends HttpExchangeServer {
  readonly #metrics: PrometheusMetrics;

  constructor(metrics: PrometheusMetrics) {
    super();
    this.#metrics = metrics;
  }

  override async serve({ request, response }: HttpExchange): Promise<void> {
    request.resume();
    const text = await this.#metrics.render();
    response.writeHead(200, {
      'content-type': 'text/plain; version=0.0.4',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}
