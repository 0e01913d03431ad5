/**
 * A caller of the soak: it sends requests to its node one after another, over a connection that it keeps open
 * for as long as the node does, and records the outcome of each. Some callers leave their connection idle for as
 * long as the configuration and the node's last answer allow.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from 'undici';
import type SoakNode from './SoakNode.js';
import type SoakWorld from './SoakWorld.js';

const PATHS = ['/read/x', '/book/x', '/audit/x', '/verdict/x'];
const PAUSE_MS = 25;
/** Longer than the system may take, so that late answers are recorded as late rather than missing. */
const CLIENT_TIMEOUT_MS = 8_000;
const DEADLINE_MS = 6_000;
/** Share of the time limit for idle connections up to which callers reuse one, and for which some leave it idle. */
const REUSE_SHARE = 0.8;
const IDLE_SHARE = 0.75;
/** With longer time limits, callers would be idle for most of a run. */
const MAX_IDLE_LIMIT_MS = 5_000;
/** How long before the end of the time announced in `Keep-Alive` a connection is given up. */
const KEEP_ALIVE_MARGIN_MS = 100;

export default class SoakCaller {
  readonly #name: string;

  readonly #node: SoakNode;

  readonly #world: SoakWorld;

  readonly #isOftenIdle: boolean;

  constructor(name: string, node: SoakNode, world: SoakWorld, isOftenIdle: boolean) {
    this.#name = name;
    this.#node = node;
    this.#world = world;
    this.#isOftenIdle = isOftenIdle;
  }

  async run(signal: AbortSignal): Promise<void> {
    let client = this.#connect();
    for (let count = 0; !signal.aborted; count += 1) {
      await this.#sendRequest(client, `${this.#name}-${count}`, PATHS[count % PATHS.length]);
      const idleFromMs = performance.now();
      await sleep(this.#findPauseMs());
      if (performance.now() - idleFromMs > this.#world.idleTimeoutMs * REUSE_SHARE) {
        // The time limit was lowered in the meantime.
        await client.close();
        client = this.#connect();
      }
    }
    await client.close();
  }

  #connect(): Client {
    return new Client(this.#node.callerUrl, {
      keepAliveTimeout: CLIENT_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
  }

  #findPauseMs(): number {
    const { idleTimeoutMs } = this.#world;
    return this.#isOftenIdle && idleTimeoutMs <= MAX_IDLE_LIMIT_MS
      ? idleTimeoutMs * IDLE_SHARE
      : PAUSE_MS;
  }

  async #sendRequest(client: Client, requestId: string, path: string): Promise<void> {
    const sentAtMs = performance.now();
    let status: number | undefined;
    let signature: string | undefined;
    let body = '';
    let errorCode: string | undefined;
    const parts = this.#world.prompts.createParts(path, requestId);
    try {
      const response = await client.request({
        method: path.startsWith('/read') ? 'GET' : 'POST',
        path,
        headers: {
          host: 'shop.example',
          'x-request-id': requestId,
          'x-deadline-ms': String(DEADLINE_MS),
          'x-kv-hold': 'smuggled',
          'x-model': 'm',
          'x-token-count': '900,40',
          'x-prefix-hash': parts,
        },
        body: path.startsWith('/read') ? null : '',
        signal: AbortSignal.timeout(CLIENT_TIMEOUT_MS),
      });
      status = response.statusCode;
      signature = response.headers['x-response-seal'] as string | undefined;
      for await (const chunk of response.body) {
        body += String(chunk);
      }
    } catch (error) {
      // The record shows how much of the answer was received; the checks decide whether that is a violation.
      errorCode = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
    }
    this.#world.evidence.recordAnswer({
      requestId,
      path,
      parts,
      node: this.#node.name,
      sentAtMs,
      endedAtMs: performance.now(),
      status,
      signature,
      body,
      isComplete: errorCode === undefined,
      errorCode,
    });
  }
}
