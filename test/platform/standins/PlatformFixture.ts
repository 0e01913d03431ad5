/** Test fixture: stand-ins for the store and for replicas of each kind, a forwarding node, and a client that calls it. */
import { request as sendRequest } from 'undici';
import ReplicaStandin from './ReplicaStandin.js';
import StoreStandin from './StoreStandin.js';
import createConfiguration from './createConfiguration.js';
import startGateway from './startGateway.js';
import sleep from '../../support/sleep.js';

interface CallResult {
  readonly status: number;
  /** `cut` when the connection broke before the end. */
  readonly body: string;
  readonly signature: string | undefined;
  readonly retryAfter: string | undefined;
}

interface CallOptions {
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** Time after which failures of a replica in one test no longer affect the next. */
const HEALTH_RESET_MS = 300;

export default class PlatformFixture {
  readonly store = new StoreStandin();

  readonly ledgers = [1, 2].map((index) => new ReplicaStandin(`ledger-${index}`, 'ledger'));

  readonly prefiller = new ReplicaStandin('prefill-1', 'model', 'prefill');

  readonly decoders = [1, 2].map(
    (index) => new ReplicaStandin(`decode-${index}`, 'model', 'decode'),
  );

  #gateway: Awaited<ReturnType<typeof startGateway>> | undefined;

  #callCount = 0;

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
    return `r-${this.#callCount}`;
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

  /** Restores the default behaviour of all replicas and clears their recorded requests. */
  async reset(): Promise<void> {
    this.replicas.forEach((replica) => {
      Object.assign(replica, { behaviour: ReplicaStandin.answer, isLeaving: false });
      replica.arrivals.splice(0);
      replica.released.splice(0);
    });
    await sleep(HEALTH_RESET_MS);
  }

  async stop(): Promise<void> {
    await this.gateway.stop();
    await Promise.all(this.replicas.map((replica) => replica.stop()));
    await this.store.stop();
  }

  async call(path: string, options: CallOptions = {}): Promise<CallResult> {
    this.#callCount += 1;
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
      signature: headers['x-response-seal'] as string | undefined,
      retryAfter: headers['retry-after'] as string | undefined,
      body: await response.body.text().catch((error: Error) => (error.name === '' ? '' : 'cut')),
    };
  }

  /** Requests a generation for a prompt that no engine has cached. */
  generate(path: string, promptTokens: number, signal?: AbortSignal): Promise<CallResult> {
    return this.call(path, {
      body: 'prompt',
      headers: {
        'x-model': 'm',
        'x-token-count': `${promptTokens},40`,
        'x-prefix-hash': `own-${this.#callCount}:${promptTokens}`,
        'x-length-hint': '10',
      },
      ...(signal === undefined ? {} : { signal }),
    });
  }

  static countArrivals(replicas: readonly ReplicaStandin[]): number {
    return replicas.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
  }
}
