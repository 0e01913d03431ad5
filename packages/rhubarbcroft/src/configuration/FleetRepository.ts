/**
 * Stores the fleet documents in the table service: a head row with the current version, a row for each
 * document, and an audit row for each change.
 */
import { randomUUID } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';
import type FleetVersion from '@rhubarbcroft/protocol/fleet/FleetVersion';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type TableStore from '../store/TableStore.js';

const TABLE = 'configuration';
const HEAD = 'head';

interface HeadRow {
  readonly version: number;
}

interface FleetChange {
  readonly basedOn: number;
  readonly document: FleetDocument;
  readonly author: string;
}

function formatVersion(version: number): string {
  return String(version).padStart(10, '0');
}

export default class FleetRepository {
  readonly #table: TableStore;

  constructor(table: TableStore) {
    this.#table = table;
  }

  /** Returns the version in the head row; 0 when no document was ever applied. */
  async readVersion(): Promise<Result<number, Failure>> {
    const head = await this.#table.read(TABLE, HEAD);
    return head.map((row) => (row?.value as HeadRow | undefined)?.version ?? 0);
  }

  async readFleet(version: number): Promise<Result<FleetVersion, Failure>> {
    const row = await this.#table.read(TABLE, `document:${formatVersion(version)}`);
    if (row.isErr) {
      return err(row.error);
    }
    const parsed = parseFleetDocument(row.value?.value);
    return parsed.map((document) => ({ version, document }));
  }

  /** Commits a change; fails with `CONFIGURATION_STALE` when it is not based on the current version. */
  async commit(change: FleetChange): Promise<Result<FleetVersion, Failure>> {
    const head = await this.#table.read(TABLE, HEAD);
    if (head.isErr) {
      return err(head.error);
    }
    const currentVersion = (head.value?.value as HeadRow | undefined)?.version ?? 0;
    if (currentVersion !== change.basedOn) {
      return err(
        createFailure(
          'CONFIGURATION_STALE',
          `based on version ${change.basedOn}, but the current version is ${currentVersion}`,
        ),
      );
    }
    const version = currentVersion + 1;
    const outcome = await this.#table.commit({
      writeId: randomUUID(),
      writes: [
        { table: TABLE, key: HEAD, expectedVersion: head.value?.version ?? 0, value: { version } },
        {
          table: TABLE,
          key: `document:${formatVersion(version)}`,
          expectedVersion: 0,
          value: change.document,
        },
        {
          table: 'audit',
          key: formatVersion(version),
          expectedVersion: 0,
          value: { version, author: change.author, at: new Date().toISOString() },
        },
      ],
    });
    if (outcome.isErr) {
      return err(outcome.error);
    }
    return outcome.value.committed
      ? ok({ version, document: change.document })
      : err(
          createFailure(
            'CONFIGURATION_STALE',
            `another change was committed as version ${version} first`,
          ),
        );
  }

  /** Returns the audit row of each change: its version, author and time. */
  async readAudit(): Promise<Result<readonly unknown[], Failure>> {
    const rows = await this.#table.scan('audit', '');
    return rows.map((found) => found.map((row) => row.value));
  }
}
