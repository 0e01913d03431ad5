/**
 * At most one run for each idempotency key of an account.
 *
 * A claim is committed before the first byte goes to an endpoint. Rows are never deleted while a resend
 * may come, and each change of a row is conditional on its version, so a delayed write cannot undo a
 * newer one. A resend finds the stored answer, waits for a run under way, or is told `unknown`.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type ServiceAnswer from '../endpoints/ServiceAnswer.js';
import type ObjectStore from '../store/ObjectStore.js';
import type Row from '../store/Row.js';
import type TableStore from '../store/TableStore.js';
import type Clock from '../supervision/Clock.js';
import type Claim from './Claim.js';
import type ClaimOutcome from './ClaimOutcome.js';
import type ClaimRow from './ClaimRow.js';
import type ClaimWriter from './ClaimWriter.js';

interface ClaimLedgerOptions {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly writer: ClaimWriter;
  readonly clock: Clock;
  /** This process: node id and incarnation. */
  readonly holder: string;
}

const TABLE = 'claims';
const MAX_INLINE_BYTES = 16_384;
const WAIT_FOR_RUN_MS = 5_000;
const POLL_MS = 200;
const FIRST_VERSION = 1;
const MAX_UNSENT_CLAIMS = 4_096;
const UPDATE_ATTEMPTS = 20;
const UPDATE_RETRY_MS = 1_000;

export default class ClaimLedger {
  readonly #options: ClaimLedgerOptions;

  /** Claims of this process that may be in the table although nothing was sent for them. */
  readonly #unsent = new Set<string>();

  constructor(options: ClaimLedgerOptions) {
    this.#options = options;
  }

  async claim(
    account: string,
    idempotencyKey: string,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const key = `${account}:${idempotencyKey}`;
    const first = await this.#write(key, fingerprint, 0);
    if (first.isErr || first.value !== undefined) {
      return first.map((claim) => ({ type: 'granted', claim: claim as Claim }));
    }
    return this.#resolveExisting(key, fingerprint, signal);
  }

  /** Stores the answer of a run; when that fails, a resend is told `unknown`. */
  async complete(claim: Claim, answer: ServiceAnswer): Promise<void> {
    const stored = await this.#storeAnswer(claim.key, answer);
    await this.#update(claim, { state: 'answered', answer: stored });
  }

  /** Gives up a claim whose request certainly did not run, so that a resend may run it. */
  release(claim: Claim): void {
    void this.#update(claim, { state: 'released' });
  }

  /** Marks a claim whose request may have run without its answer being known. */
  abandon(claim: Claim): void {
    void this.#update(claim, { state: 'abandoned' });
  }

  async #resolveExisting(
    key: string,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const { table, clock, holder } = this.#options;
    const untilMs = clock.nowMs() + WAIT_FOR_RUN_MS;
    while (true) {
      const row = await table.read(TABLE, key);
      if (row.isErr || row.value === undefined) {
        return err(createFailure('CLAIM_UNAVAILABLE', 'the claim cannot be read back'));
      }
      const value = row.value.value as ClaimRow;
      if (value.fingerprint !== fingerprint) {
        return err(
          createFailure('CLAIM_MISMATCH', 'the request differs from the first one with this key'),
        );
      }
      if (value.state === 'answered') {
        return this.#loadAnswer(value);
      }
      const mine = value.holder === holder && this.#unsent.has(key);
      if (value.state === 'released' || mine) {
        return this.#takeOver(key, fingerprint, row.value, signal);
      }
      if (value.state === 'abandoned' || signal.aborted || clock.nowMs() > untilMs) {
        return err(
          createFailure(
            'CLAIM_IN_PROGRESS',
            `its run by ${value.holder} has no answer yet`,
            'unknown',
          ),
        );
      }
      await clock.sleep(POLL_MS, signal);
    }
  }

  async #takeOver(
    key: string,
    fingerprint: string,
    row: Row,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const claim = await this.#write(key, fingerprint, row.version);
    if (claim.isErr) {
      return err(claim.error);
    }
    return claim.value === undefined
      ? this.#resolveExisting(key, fingerprint, signal)
      : ok({ type: 'granted', claim: claim.value });
  }

  /** Writes the claim; undefined means that the row was not at the expected version. */
  async #write(
    key: string,
    fingerprint: string,
    expectedVersion: number,
  ): Promise<Result<Claim | undefined, Failure>> {
    const { writer, holder } = this.#options;
    const written = await writer.write({
      key,
      expectedVersion,
      value: { state: 'claimed', fingerprint, holder },
    });
    if (written.isErr) {
      this.#noteUnsent(key);
      return err(createFailure('CLAIM_UNAVAILABLE', written.error.detail));
    }
    if (written.value) {
      this.#unsent.delete(key);
    }
    const version = expectedVersion + FIRST_VERSION;
    return ok(written.value ? { key, fingerprint, version } : undefined);
  }

  async #update(claim: Claim, change: Partial<ClaimRow>): Promise<void> {
    const { writer, holder } = this.#options;
    const value: ClaimRow = { state: 'claimed', fingerprint: claim.fingerprint, holder, ...change };
    const write = { key: claim.key, expectedVersion: claim.version, value };
    const first = await writer.write(write);
    if (first.isErr) {
      void this.#updateLater(write);
    }
  }

  /** Goes on trying to store an outcome through a short outage of the table. */
  async #updateLater(write: Parameters<ClaimWriter['write']>[0]): Promise<void> {
    const { writer, clock } = this.#options;
    for (let attempt = 0; attempt < UPDATE_ATTEMPTS; attempt += 1) {
      await clock.sleep(UPDATE_RETRY_MS);
      const written = await writer.write(write);
      if (written.isOk) {
        return;
      }
    }
  }

  async #storeAnswer(key: string, answer: ServiceAnswer): Promise<ClaimRow['answer']> {
    const { status, contentType, body } = answer;
    if (body.length <= MAX_INLINE_BYTES) {
      return { status, contentType, body: Buffer.from(body).toString('base64') };
    }
    const objectKey = `answers/${key}`;
    const stored = await this.#options.objects.put(objectKey, body);
    return stored.isOk ? { status, contentType, objectKey } : { status, contentType };
  }

  async #loadAnswer({ answer }: ClaimRow): Promise<Result<ClaimOutcome, Failure>> {
    if (answer?.body !== undefined) {
      return ok({
        type: 'answered',
        answer: { ...answer, body: Buffer.from(answer.body, 'base64') },
      });
    }
    if (answer?.objectKey === undefined) {
      return err(createFailure('CLAIM_NOT_KEPT', 'only the fact that it ran is stored', 'ran'));
    }
    const body = await this.#options.objects.get(answer.objectKey);
    if (body.isErr || body.value === undefined) {
      return err(createFailure('CLAIM_NOT_KEPT', 'the stored answer cannot be read', 'ran'));
    }
    return ok({ type: 'answered', answer: { ...answer, body: body.value } });
  }

  #noteUnsent(key: string): void {
    this.#unsent.delete(key);
    this.#unsent.add(key);
    if (this.#unsent.size > MAX_UNSENT_CLAIMS) {
      const [oldest] = this.#unsent;
      this.#unsent.delete(oldest);
    }
  }
}
