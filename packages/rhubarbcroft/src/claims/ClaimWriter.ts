/**
 * The task that writes claims. Writes that come while a commit is under way go together in the next
 * transaction, and transactions keep a least distance, so that the table's writes a second are bounded
 * whatever the request rate.
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
  readonly settle: (result: Result<boolean, Failure>) => void;
}

const TABLE = 'claims';
const MAX_GROUP = 128;
const MAX_PENDING = 8_192;

export default class ClaimWriter extends Task {
  override readonly name = 'claim-writer';

  readonly #table: TableStore;

  readonly #clock: Clock;

  readonly #groupMs: number;

  #pending: PendingWrite[] = [];

  #wakeups = new Mailbox<true>();

  #commits = 0;

  #rows = 0;

  constructor(table: TableStore, clock: Clock, groupMs: number) {
    super();
    this.#table = table;
    this.#clock = clock;
    this.#groupMs = groupMs;
  }

  /** Resolves to true when the write took effect and to false when its condition did not hold. */
  write(write: ClaimWrite): Promise<Result<boolean, Failure>> {
    if (this.#pending.length >= MAX_PENDING) {
      return Promise.resolve(
        err(createFailure('CLAIM_UNAVAILABLE', 'too many claims are waiting')),
      );
    }
    return new Promise((settle) => {
      this.#pending.push({ write, settle });
      this.#wakeups.push(true);
    });
  }

  override async run(signal: AbortSignal): Promise<void> {
    const wakeups = new Mailbox<true>();
    this.#wakeups = wakeups;
    signal.addEventListener('abort', () => wakeups.close(), { once: true });
    for await (const woken of wakeups) {
      while (woken && this.#pending.length > 0) {
        await this.#commitGroup();
        await this.#clock.sleep(this.#groupMs);
      }
    }
  }

  override dumpState(): unknown {
    return { pending: this.#pending.length, commits: this.#commits, rows: this.#rows };
  }

  async #commitGroup(): Promise<void> {
    const group = this.#takeGroup();
    const outcome = await this.#table.commit({
      writeId: randomUUID(),
      writes: group.map(({ write }) => ({ table: TABLE, ...write })),
    });
    this.#commits += 1;
    this.#rows += group.length;
    if (outcome.isErr) {
      group.forEach(({ settle }) => settle(err(outcome.error)));
      return;
    }
    if (outcome.value.committed) {
      group.forEach(({ settle }) => settle(ok(true)));
      return;
    }
    const conflicts = new Set(outcome.value.conflicts);
    const [lost, others] = ClaimWriter.#partition(group, conflicts);
    lost.forEach(({ settle }) => settle(ok(false)));
    this.#pending = [...others, ...this.#pending];
  }

  /** Two writes of one row cannot share a transaction, so a group holds each key once. */
  #takeGroup(): readonly PendingWrite[] {
    const keys = new Set<string>();
    const group: PendingWrite[] = [];
    const rest: PendingWrite[] = [];
    for (const pending of this.#pending) {
      if (group.length < MAX_GROUP && !keys.has(pending.write.key)) {
        keys.add(pending.write.key);
        group.push(pending);
      } else {
        rest.push(pending);
      }
    }
    this.#pending = rest;
    return group;
  }

  static #partition(
    group: readonly PendingWrite[],
    conflicts: ReadonlySet<string>,
  ): readonly [readonly PendingWrite[], readonly PendingWrite[]] {
    const lost = group.filter(({ write }) => conflicts.has(`${TABLE}/${write.key}`));
    const others = group.filter(({ write }) => !conflicts.has(`${TABLE}/${write.key}`));
    return [lost, others];
  }
}
