/** Operator's configuration for tests: two kinds of request to a ledger service and two kinds of stream from a model. */
import createRoute from './createRoute.js';

interface ConfiguredTimeouts {
  readonly idleTimeoutMs?: number;
  /** Time-out of the routes. */
  readonly timeoutMs?: number;
  /** Longest pause between the events of a stream that is on time; the time-out of the routes by default. */
  readonly gapAimMs?: number;
}

export default function createConfiguration(
  version: number,
  extra: readonly unknown[] = [],
  { idleTimeoutMs = 15_000, timeoutMs = 2_000, gapAimMs = timeoutMs }: ConfiguredTimeouts = {},
): unknown {
  const stream = { timeoutMs, gapAimMs, kind: 'streaming', sticky: true };
  return {
    version,
    routes: [
      createRoute('/read/', 'ledger', { timeoutMs }),
      createRoute('/book/', 'ledger', { timeoutMs, kind: 'non_idempotent', maxAttempts: 1 }),
      createRoute('/audit/', 'model', { ...stream, resumable: true }),
      createRoute('/verdict/', 'model', { ...stream, maxAttempts: 1 }),
      ...extra,
    ],
    services: [
      { name: 'ledger', healthPath: '/health', maxConnections: 100 },
      {
        name: 'model',
        healthPath: '/health',
        maxConnections: 100,
        engine: { slots: 8, kvCapacityTokens: 400_000, kvTokenBytes: 35_136, linkMbps: 740_000 },
      },
    ],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs,
    },
  };
}
