/**
 * The task that writes claims in batches. Writes that arrive during a commit are batched into the next
 * transaction, and a minimum interval separates transactions, so that the rate of transactions on the table
 * is bounded at any request rate.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type TableStore from '../store/TableStore.js';
import type Clock from '../supervision/Clock.js';
import Mailbox from '../supervision/Mailbox.js';
import Task from '../supervision/Task.js';
import type ClaimRow from './ClaimRow.js';

interface ClaimWrite {
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: ClaimRow;
}

interface PendingWrite {
  readonly write: ClaimWrite;
  readonly resolve: (result: Result<boolean, Failure>) => void;
}

const TABLE = 'claims';
const MAX_BATCH = 128;
const MAX_PENDING = 8_192;

export default class ClaimWriter extends Task {
  override readonly name = 'claim-writer';

  readonly #table: TableStore;

  readonly #clock: Clock;

  readonly #batchIntervalMs: number;

  #pending: PendingWrite[] = [];

  #wakeups = new Mailbox<true>();

  #commits = 0;

  #rows = 0;

  constructor(table: TableStore, clock: Clock, batchIntervalMs: number) {
    super();
    this.#table = table;
    this.#clock = clock;
    this.#batchIntervalMs = batchIntervalMs;
  }

  /**
   * Queues a write. Resolves to true when it took effect and to false when the row was not at the expected
   * version; fails with `CLAIM_UNAVAILABLE` when too many writes are queued.
   */
  write(write: ClaimWrite): Promise<Result<boolean, Failure>> {
    if (this.#pending.length >= MAX_PENDING) {
      return Promise.resolve(
        err(createFailure('CLAIM_UNAVAILABLE', 'too many claim writes are queued on this node')),
      );
    }
    return new Promise((resolve) => {
      this.#pending.push({ write, resolve });
      this.#wakeups.push(true);
    });
  }

  override async run(signal: AbortSignal): Promise<void> {
    const wakeups = new Mailbox<true>();
    this.#wakeups = wakeups;
    signal.addEventListener('abort', () => wakeups.close(), { once: true });
    for await (const woken of wakeups) {
      while (woken && this.#pending.length > 0) {
        await this.#commitBatch();
        await this.#clock.sleep(this.#batchIntervalMs);
      }
    }
  }

  override dumpState(): unknown {
    return { pending: this.#pending.length, commits: this.#commits, rows: this.#rows };
  }

  async #commitBatch(): Promise<void> {
    const batch = this.#takeBatch();
    const outcome = await this.#table.commit({
      writeId: randomUUID(),
      writes: batch.map(({ write }) => ({ table: TABLE, ...write })),
    });
    this.#commits += 1;
    this.#rows += batch.length;
    if (outcome.isErr) {
      batch.forEach(({ resolve }) => resolve(err(outcome.error)));
      return;
    }
    if (outcome.value.committed) {
      batch.forEach(({ resolve }) => resolve(ok(true)));
      return;
    }
    const conflicts = new Set(outcome.value.conflicts);
    const [conflicting, others] = ClaimWriter.#partition(batch, conflicts);
    conflicting.forEach(({ resolve }) => resolve(ok(false)));
    this.#pending = [...others, ...this.#pending];
  }

  /**
   * Takes the next batch from the queue. A transaction cannot write a row twice, so a batch holds each
   * key once.
   */
  #takeBatch(): readonly PendingWrite[] {
    const keys = new Set<string>();
    const batch: PendingWrite[] = [];
    const remaining: PendingWrite[] = [];
    for (const pending of this.#pending) {
      if (batch.length < MAX_BATCH && !keys.has(pending.write.key)) {
        keys.add(pending.write.key);
        batch.push(pending);
      } else {
        remaining.push(pending);
      }
    }
    this.#pending = remaining;
    return batch;
  }

  static #partition(
    batch: readonly PendingWrite[],
    conflicts: ReadonlySet<string>,
  ): readonly [readonly PendingWrite[], readonly PendingWrite[]] {
    const conflicting = batch.filter(({ write }) => conflicts.has(`${TABLE}/${write.key}`));
    const others = batch.filter(({ write }) => !conflicts.has(`${TABLE}/${write.key}`));
    return [conflicting, others];
  }
}
