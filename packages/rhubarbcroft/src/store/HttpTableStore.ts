/** Accesses the platform's table service over HTTP with JSON bodies. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type CommitOutcome from './CommitOutcome.js';
import type PlatformClient from './PlatformClient.js';
import type Row from './Row.js';
import TableStore from './TableStore.js';
import type Transaction from './Transaction.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

function parseBody<Value>(body: Uint8Array): Value {
  return JSON.parse(Buffer.from(body).toString('utf8')) as Value;
}

export default class HttpTableStore extends TableStore {
  readonly #client: PlatformClient;

  constructor(client: PlatformClient) {
    super();
    this.#client = client;
  }

  override async read(table: string, key: string): Promise<Result<Row | undefined, Failure>> {
    const path = `/v1/tables/${table}/${encodeURIComponent(key)}`;
    const response = await this.#client.send({ method: 'GET', path });
    if (response.isErr) {
      return err(response.error);
    }
    const { status, body } = response.value;
    return ok(status === STATUS_NOT_FOUND ? undefined : parseBody<Row>(body));
  }

  override async scan(table: string, prefix: string): Promise<Result<readonly Row[], Failure>> {
    const path = `/v1/tables/${table}?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.#client.send({ method: 'GET', path });
    return response.map(({ body }) => parseBody<readonly Row[]>(body));
  }

  protected override async commitOnce(
    transaction: Transaction,
  ): Promise<Result<CommitOutcome, Failure>> {
    const body = JSON.stringify(transaction);
    const response = await this.#client.send({ method: 'POST', path: '/v1/transactions', body });
    if (response.isErr) {
      return err(response.error);
    }
    if (response.value.status === STATUS_OK) {
      return ok({ committed: true });
    }
    if (response.value.status === STATUS_CONFLICT) {
      const { conflicts } = parseBody<{ readonly conflicts: readonly string[] }>(
        response.value.body,
      );
      return ok({ committed: false, conflicts });
    }
    return err(
      createFailure(
        'PLATFORM_MALFORMED',
        `POST /v1/transactions: unexpected status ${response.value.status}`,
      ),
    );
  }
}
