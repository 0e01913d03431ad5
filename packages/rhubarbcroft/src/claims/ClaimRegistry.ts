/**
 * Ensures that the request of an idempotency key runs at most once for each account.
 *
 * A claim is committed before the first byte is sent to an endpoint. Rows are not deleted while the caller
 * may resend the request, and each update of a row is conditional on its version, so a delayed write cannot
 * overwrite a newer one. A resend returns the stored answer, waits for the answer of a running request, or
 * fails with the run state `unknown`.
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
  /** This process, as `nodeId/incarnation`. */
  readonly holder: string;
}

const TABLE = 'claims';
const MAX_INLINE_BYTES = 16_384;
const MAX_WAIT_FOR_ANSWER_MS = 5_000;
const CLAIM_POLL_MS = 200;
const VERSION_STEP = 1;
const MAX_UNSENT_KEYS = 4_096;
const MAX_UPDATE_RETRIES = 20;
const UPDATE_RETRY_INTERVAL_MS = 1_000;

export default class ClaimRegistry {
  readonly #options: ClaimLedgerOptions;

  /**
   * Keys of claims whose write failed and may nevertheless be in the table. The process dispatched no request
   * for them, so it may take them over when the caller resends.
   */
  readonly #unsentKeys = new Set<string>();

  constructor(options: ClaimLedgerOptions) {
    this.#options = options;
  }

  /**
   * Claims the request for this process, or returns its stored answer. Fails with `CLAIM_UNAVAILABLE`
   * when the claim cannot be written or read, `CLAIM_MISMATCH` when the key was used for another request,
   * `CLAIM_IN_PROGRESS` when another run has no answer within `MAX_WAIT_FOR_ANSWER_MS` or was abandoned,
   * and `CLAIM_NOT_KEPT` when the request ran but its answer is not stored.
   */
  async claim(
    account: string,
    idempotencyKey: string,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const key = `${account}:${idempotencyKey}`;
    const first = await this.#writeClaim(key, fingerprint, 0);
    if (first.isErr || first.value !== undefined) {
      return first.map((claim) => ({ type: 'granted', claim: claim as Claim }));
    }
    return this.#resolveExisting(key, fingerprint, signal);
  }

  /**
   * Stores the answer of a run. If the row cannot be written, a resend fails with the run state `unknown`; if
   * only the object of a large answer cannot be stored, it fails with `CLAIM_NOT_KEPT`.
   */
  async complete(claim: Claim, answer: ServiceAnswer): Promise<void> {
    const stored = await this.#storeAnswer(claim.key, answer);
    await this.#update(claim, { state: 'answered', answer: stored });
  }

  /** Releases a claim whose request certainly did not run, so that a resend may run it. */
  release(claim: Claim): void {
    void this.#update(claim, { state: 'released' });
  }

  /** Marks a claim whose request may have run, but whose answer is not known. */
  abandon(claim: Claim): void {
    void this.#update(claim, { state: 'abandoned' });
  }

  async #resolveExisting(
    key: string,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const { table, clock, holder } = this.#options;
    const untilMs = clock.nowMs() + MAX_WAIT_FOR_ANSWER_MS;
    while (true) {
      const row = await table.read(TABLE, key);
      if (row.isErr || row.value === undefined) {
        return err(
          createFailure(
            'CLAIM_UNAVAILABLE',
            'the existing claim of this idempotency key cannot be read',
          ),
        );
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
      const isOwnUnsent = value.holder === holder && this.#unsentKeys.has(key);
      if (value.state === 'released' || isOwnUnsent) {
        return this.#takeOver(key, fingerprint, row.value, signal);
      }
      if (value.state === 'abandoned' || signal.aborted || clock.nowMs() > untilMs) {
        return err(
          createFailure(
            'CLAIM_IN_PROGRESS',
            `the request was claimed by ${value.holder} and has no stored answer`,
            'unknown',
          ),
        );
      }
      await clock.sleep(CLAIM_POLL_MS, signal);
    }
  }

  async #takeOver(
    key: string,
    fingerprint: string,
    row: Row,
    signal: AbortSignal,
  ): Promise<Result<ClaimOutcome, Failure>> {
    const claim = await this.#writeClaim(key, fingerprint, row.version);
    if (claim.isErr) {
      return err(claim.error);
    }
    return claim.value === undefined
      ? this.#resolveExisting(key, fingerprint, signal)
      : ok({ type: 'granted', claim: claim.value });
  }

  /** Writes the claim; returns undefined when the row was not at the expected version. */
  async #writeClaim(
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
      this.#recordUnsentClaim(key);
      return err(createFailure('CLAIM_UNAVAILABLE', written.error.detail));
    }
    if (written.value) {
      this.#unsentKeys.delete(key);
    }
    const version = expectedVersion + VERSION_STEP;
    return ok(written.value ? { key, fingerprint, version } : undefined);
  }

  async #update(claim: Claim, change: Partial<ClaimRow>): Promise<void> {
    const { writer, holder } = this.#options;
    const value: ClaimRow = { state: 'claimed', fingerprint: claim.fingerprint, holder, ...change };
    const write = { key: claim.key, expectedVersion: claim.version, value };
    const first = await writer.write(write);
    if (first.isErr) {
      void this.#retryUpdate(write);
    }
  }

  /** Retries storing an outcome once a second, at most 20 times, to survive a short outage of the table. */
  async #retryUpdate(write: Parameters<ClaimWriter['write']>[0]): Promise<void> {
    const { writer, clock } = this.#options;
    for (let attempt = 0; attempt < MAX_UPDATE_RETRIES; attempt += 1) {
      await clock.sleep(UPDATE_RETRY_INTERVAL_MS);
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
      return err(
        createFailure(
          'CLAIM_NOT_KEPT',
          'the request ran, but its answer could not be stored',
          'ran',
        ),
      );
    }
    const body = await this.#options.objects.get(answer.objectKey);
    if (body.isErr || body.value === undefined) {
      return err(
        createFailure(
          'CLAIM_NOT_KEPT',
          'the request ran, but its stored answer cannot be read',
          'ran',
        ),
      );
    }
    return ok({ type: 'answered', answer: { ...answer, body: body.value } });
  }

  #recordUnsentClaim(key: string): void {
    this.#unsentKeys.delete(key);
    this.#unsentKeys.add(key);
    if (this.#unsentKeys.size > MAX_UNSENT_KEYS) {
      const [oldest] = this.#unsentKeys;
      this.#unsentKeys.delete(oldest);
    }
  }
}
