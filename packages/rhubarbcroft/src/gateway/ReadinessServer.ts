/** Answers the balancer's readiness probes: 200 while the node accepts new connections, 503 otherwise. */
import type Exchange from '../callers/Exchange.js';
import ExchangeServer from '../callers/ExchangeServer.js';

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

export default class ReadinessServer extends ExchangeServer {
  readonly #isReady: () => boolean;

  constructor(isReady: () => boolean) {
    super();
    this.#isReady = isReady;
  }

  override async serve({ request, response }: Exchange): Promise<void> {
    request.resume();
    response.writeHead(this.#isReady() ? STATUS_READY : STATUS_NOT_READY, { 'content-length': 0 });
    response.end();
  }
}
