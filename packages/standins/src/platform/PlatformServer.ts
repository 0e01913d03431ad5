/**
 * The platform stand-in: a table service with conditional multi-row transactions, an object store, and a
 * VM list that can lag. `POST /control` sets the VM list and injects faults: the platform is unavailable or
 * slow, drops the responses to transactions after applying them, or serves stale reads.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import sendJson from '../http/sendJson.js';
import readText from '../http/readText.js';

interface Row {
  readonly table: string;
  readonly key: string;
  readonly version: number;
  readonly writeId: string;
  readonly value: unknown;
}

interface Condition {
  readonly table: string;
  readonly key: string;
  readonly expectedVersion: number;
}

interface Transaction {
  readonly writeId: string;
  readonly writes: readonly (Condition & { readonly value: unknown })[];
  readonly checks?: readonly Condition[];
}

/** The injected faults. The names are fields of `/control`. */
interface Faults {
  /** Whether every request is answered with status 503. */
  readonly down: boolean;
  /** Added to the duration of every request. */
  readonly slowMs: number;
  /** Whether connections are closed instead of answering transactions, which are still applied. */
  readonly loseAnswers: boolean;
  /** Table whose next transaction is processed but not answered; empty for none. */
  readonly loseNextOf: string;
  /** Whether reads of single rows return the version before the last write. */
  readonly stale: boolean;
  /** Age of the VM list that is served. */
  readonly vmListLagMs: number;
}

interface VmSnapshot {
  readonly atMs: number;
  readonly vms: readonly { readonly id: string; readonly state: string }[];
}

const NO_FAULTS: Faults = {
  down: false,
  slowMs: 0,
  loseAnswers: false,
  loseNextOf: '',
  stale: false,
  vmListLagMs: 0,
};

export default class PlatformServer {
  readonly #rows = new Map<string, Row>();

  readonly #previousRows = new Map<string, Row>();

  readonly #objects = new Map<string, string>();

  #faults: Faults = NO_FAULTS;

  #vmSnapshots: readonly VmSnapshot[] = [{ atMs: -Infinity, vms: [] }];

  #readCount = 0;

  #writeCount = 0;

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    // Objects are binary: latin1 maps each byte to one character and back without loss.
    const body = await readText(
      request,
      url.pathname.startsWith('/v1/objects/') ? 'latin1' : 'utf8',
    );
    if (url.pathname === '/control') {
      this.#handleControl(request.method ?? 'GET', body, response);
      return;
    }
    if (this.#faults.down) {
      sendJson(response, 503, { error: 'the platform is down' });
      return;
    }
    if (this.#faults.slowMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.slowMs);
      });
    }
    this.#route(request.method ?? 'GET', url, body, response);
  }

  #route(method: string, url: URL, body: string, response: ServerResponse): void {
    const [, , kind, ...rest] = url.pathname.split('/');
    if (kind === 'transactions') {
      this.#commitTransaction(JSON.parse(body) as Transaction, response);
    } else if (kind === 'tables' && rest.length === 1) {
      this.#scanTable(rest[0], url.searchParams.get('prefix') ?? '', response);
    } else if (kind === 'tables') {
      this.#readRow(rest[0], decodeURIComponent(rest[1]), response);
    } else if (kind === 'objects') {
      this.#handleObject(method, decodeURIComponent(rest[0]), body, response);
    } else if (kind === 'vms') {
      const latestMs = performance.now() - this.#faults.vmListLagMs;
      sendJson(
        response,
        200,
        this.#vmSnapshots.findLast((snapshot) => snapshot.atMs <= latestMs)?.vms ?? [],
      );
    } else {
      sendJson(response, 404, { error: url.pathname });
    }
  }

  #commitTransaction(transaction: Transaction, response: ServerResponse): void {
    const conditions = [...transaction.writes, ...(transaction.checks ?? [])];
    const conflicts = conditions
      .filter(
        ({ table, key, expectedVersion }) =>
          (this.#rows.get(`${table}/${key}`)?.version ?? 0) !== expectedVersion,
      )
      .map(({ table, key }) => `${table}/${key}`);
    if (conflicts.length === 0) {
      this.#writeCount += 1;
      transaction.writes.forEach((write) => this.#applyWrite(write, transaction.writeId));
    }
    const dropsResponse = transaction.writes.some(({ table }) => table === this.#faults.loseNextOf);
    if (this.#faults.loseAnswers || dropsResponse) {
      this.#faults = { ...this.#faults, loseNextOf: '' };
      response.destroy();
      return;
    }
    sendJson(response, conflicts.length === 0 ? 200 : 409, { conflicts });
  }

  #applyWrite(
    { table, key, expectedVersion, value }: Transaction['writes'][number],
    writeId: string,
  ): void {
    const id = `${table}/${key}`;
    const previous = this.#rows.get(id);
    if (previous !== undefined) {
      this.#previousRows.set(id, previous);
    }
    if (value === null) {
      this.#rows.delete(id);
    } else {
      this.#rows.set(id, { table, key, version: expectedVersion + 1, writeId, value });
    }
  }

  #readRow(table: string, key: string, response: ServerResponse): void {
    this.#readCount += 1;
    const id = `${table}/${key}`;
    const row = (this.#faults.stale ? this.#previousRows.get(id) : undefined) ?? this.#rows.get(id);
    sendJson(response, row === undefined ? 404 : 200, row ?? {});
  }

  #scanTable(table: string, prefix: string, response: ServerResponse): void {
    this.#readCount += 1;
    const rows = [...this.#rows.values()].filter(
      (row) => row.table === table && row.key.startsWith(prefix),
    );
    sendJson(
      response,
      200,
      rows.sort((a, b) => (a.key < b.key ? -1 : 1)),
    );
  }

  #handleObject(method: string, key: string, body: string, response: ServerResponse): void {
    if (method === 'PUT') {
      this.#objects.set(key, body);
      sendJson(response, 200, {});
      return;
    }
    const value = this.#objects.get(key);
    response.writeHead(value === undefined ? 404 : 200);
    response.end(value, 'latin1');
  }

  #handleControl(method: string, body: string, response: ServerResponse): void {
    if (method === 'POST') {
      const change = JSON.parse(body) as Partial<Faults> & { readonly vms?: VmSnapshot['vms'] };
      if (change.vms !== undefined) {
        this.#vmSnapshots = [...this.#vmSnapshots, { atMs: performance.now(), vms: change.vms }];
      }
      this.#faults = { ...this.#faults, ...change };
    }
    sendJson(response, 200, {
      mode: this.#faults,
      reads: this.#readCount,
      writes: this.#writeCount,
      rows: [...this.#rows.values()],
    });
  }
}
