/** Answers the balancer's readiness probes: 200 while the node accepts new connections, 503 otherwise. */
import type HttpExchange from '../callers/HttpExchange.js';
import HttpExchangeServer from '../callers/HttpExchangeServer.js';

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

export default class ReadinessServer extends HttpExchangeServer {
  readonly #isReady: () => boolean;

  constructor(isReady: () => boolean) {
    super();
    this.#isReady = isReady;
  }

  override async serve({ request, response }: HttpExchange): Promise<void> {
    request.resume();
    response.writeHead(this.#isReady() ? STATUS_READY : STATUS_NOT_READY, { 'content-length': 0 });
    response.end();
  }
}
