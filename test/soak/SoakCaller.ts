/**
 * A caller of the soak: it sends requests to its node one after another, over a connection that it keeps open
 * for as long as the node does, and records the outcome of each.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from 'undici';
import type Evidence from './Evidence.js';
import type SoakNode from './SoakNode.js';

const PATHS = ['/read/x', '/book/x', '/audit/x', '/verdict/x'];
const PAUSE_MS = 25;
/** Longer than the system may take, so that late answers are recorded as late rather than missing. */
const CLIENT_TIMEOUT_MS = 8_000;
const DEADLINE_MS = 6_000;

export default class SoakCaller {
  readonly #name: string;

  readonly #node: SoakNode;

  readonly #evidence: Evidence;

  constructor(name: string, node: SoakNode, evidence: Evidence) {
    this.#name = name;
    this.#node = node;
    this.#evidence = evidence;
  }

  async run(signal: AbortSignal): Promise<void> {
    const client = new Client(this.#node.callerUrl, { keepAliveTimeout: CLIENT_TIMEOUT_MS });
    for (let count = 0; !signal.aborted; count += 1) {
      await this.#sendRequest(client, `${this.#name}-${count}`, PATHS[count % PATHS.length]);
      await sleep(PAUSE_MS);
    }
    await client.close();
  }

  async #sendRequest(client: Client, requestId: string, path: string): Promise<void> {
    const sentAtMs = performance.now();
    let status: number | undefined;
    let signature: string | undefined;
    let body = '';
    let isComplete = false;
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
          'x-prefix-hash': `shared:500,${requestId}:400`,
        },
        body: path.startsWith('/read') ? null : '',
        signal: AbortSignal.timeout(CLIENT_TIMEOUT_MS),
      });
      status = response.statusCode;
      signature = response.headers['x-response-seal'] as string | undefined;
      for await (const chunk of response.body) {
        body += String(chunk);
      }
      isComplete = true;
    } catch {
      // The record shows how much of the answer was received; the checks decide whether that is a violation.
    }
    this.#evidence.recordAnswer({
      requestId,
      path,
      node: this.#node.name,
      sentAtMs,
      endedAtMs: performance.now(),
      status,
      signature,
      body,
      isComplete,
    });
  }
}
