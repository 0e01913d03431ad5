/** A platform for a test: a store, replicas of each kind, a forwarding node before them, and its callers. */
import { request as sendRequest } from 'undici';
import ReplicaStandin from './ReplicaStandin.js';
import StoreStandin from './StoreStandin.js';
import createConfiguration from './createConfiguration.js';
import startGateway from './startGateway.js';
import sleep from '../../support/sleep.js';

interface Answer {
  readonly status: number;
  /** `cut` when it broke off. */
  readonly body: string;
  readonly seal: string | undefined;
  readonly retryAfter: string | undefined;
}

interface CallOptions {
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** The health of replicas that failed in one test is forgotten by then. */
const REST_MS = 300;

export default class SmallPlatform {
  readonly store = new StoreStandin();

  readonly ledgers = [1, 2].map((at) => new ReplicaStandin(`ledger-${at}`, 'ledger'));

  readonly prefiller = new ReplicaStandin('prefill-1', 'model', 'prefill');

  readonly decoders = [1, 2].map((at) => new ReplicaStandin(`decode-${at}`, 'model', 'decode'));

  #gateway: Awaited<ReturnType<typeof startGateway>> | undefined;

  #calls = 0;

  get replicas(): readonly ReplicaStandin[] {
    return [...this.ledgers, this.prefiller, ...this.decoders];
  }

  get gateway(): Awaited<ReturnType<typeof startGateway>> {
    if (this.#gateway === undefined) {
      throw new Error('the platform has not been started');
    }
    return this.#gateway;
  }

  get lastRequestId(): string {
    return `r-${this.#calls}`;
  }

  async start(): Promise<void> {
    await this.store.start();
    await Promise.all(this.replicas.map((replica) => replica.start()));
    this.store.put('op', 'config', createConfiguration(3));
    this.replicas.forEach((replica) =>
      this.store.put('servers', replica.id, replica.createEntry()),
    );
    this.store.put('servers', 'foreign', '{"service":"ledger","address":7}');
    this.#gateway = await startGateway({ storeUrl: this.store.url });
  }

  /** Lets all replicas answer, and forgets what reached them. */
  async reset(): Promise<void> {
    this.replicas.forEach((replica) => {
      Object.assign(replica, { behaviour: ReplicaStandin.answer });
      replica.arrivals.splice(0);
      replica.released.splice(0);
    });
    await sleep(REST_MS);
  }

  async stop(): Promise<void> {
    await this.gateway.stop();
    await Promise.all(this.replicas.map((replica) => replica.stop()));
    await this.store.stop();
  }

  async call(path: string, options: CallOptions = {}): Promise<Answer> {
    this.#calls += 1;
    const response = await sendRequest(`${this.gateway.url}${path}`, {
      method: options.body === undefined ? 'GET' : 'POST',
      body: options.body ?? null,
      signal: options.signal ?? null,
      headers: {
        host: 'shop.example',
        'x-request-id': this.lastRequestId,
        'x-deadline-ms': '1500',
        ...options.headers,
      },
    });
    const { headers, statusCode } = response;
    return {
      status: statusCode,
      seal: headers['x-response-seal'] as string | undefined,
      retryAfter: headers['retry-after'] as string | undefined,
      body: await response.body.text().catch((error: Error) => (error.name === '' ? '' : 'cut')),
    };
  }

  /** Asks for a generation whose prompt no engine holds. */
  generate(path: string, promptTokens: number, signal?: AbortSignal): Promise<Answer> {
    return this.call(path, {
      body: 'prompt',
      headers: {
        'x-model': 'm',
        'x-token-count': `${promptTokens},40`,
        'x-prefix-hash': `own-${this.#calls}:${promptTokens}`,
        'x-length-hint': '10',
      },
      ...(signal === undefined ? {} : { signal }),
    });
  }

  static countArrivals(replicas: readonly ReplicaStandin[]): number {
    return replicas.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
  }
}
