/**
 * Reads and writes the intent rows in the platform's table, one for each engine.
 *
 * The write of a new intent is conditional on the epoch row of the lease, so a process that has lost its
 * authority cannot write one, and on the version of the engine's row, so no process overwrites an intent
 * that it has not read.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type TableStore from '../store/TableStore.js';
import type Authority from './Authority.js';
import type Intent from './Intent.js';

interface IntentEntry {
  readonly version: number;
  readonly intent: Intent | undefined;
}

const INTENTS = 'intents';
const EPOCHS = 'epochs';

export default class IntentRepository {
  readonly #table: TableStore;

  readonly #group: string;

  constructor(table: TableStore, group: string) {
    this.#table = table;
    this.#group = group;
  }

  async read(engineId: string): Promise<Result<IntentEntry, Failure>> {
    const row = await this.#table.read(INTENTS, engineId);
    return row.map((found) => ({
      version: found?.version ?? 0,
      intent: found?.value as Intent | undefined,
    }));
  }

  /**
   * Writes an open intent and returns the new version of its row. Fails with `LEASE_LOST` when the lease has
   * a newer epoch or the engine's row has changed.
   */
  async open(
    engineId: string,
    expectedVersion: number,
    intent: Intent,
    authority: Authority,
  ): Promise<Result<number, Failure>> {
    const outcome = await this.#table.commit({
      writeId: randomUUID(),
      writes: [{ table: INTENTS, key: engineId, expectedVersion, value: intent }],
      checks: [{ table: EPOCHS, key: this.#group, expectedVersion: authority.epochVersion }],
    });
    if (outcome.isErr) {
      return err(outcome.error);
    }
    return outcome.value.committed
      ? ok(expectedVersion + 1)
      : err(
          createFailure(
            'LEASE_LOST',
            `intent for ${engineId} not written: the lease has a newer epoch or the intent row has changed`,
          ),
        );
  }

  /**
   * Closes an intent and returns whether the row was still at the expected version. Only the issuer may close
   * it, or a process that has established that the issuer no longer runs.
   */
  async close(
    engineId: string,
    expectedVersion: number,
    intent: Intent,
    outcome: Intent['outcome'],
  ): Promise<Result<boolean, Failure>> {
    const closed = await this.#table.commit({
      writeId: randomUUID(),
      writes: [
        {
          table: INTENTS,
          key: engineId,
          expectedVersion,
          value: { ...intent, state: 'closed', outcome },
        },
      ],
    });
    return closed.map((result) => result.committed);
  }
}
