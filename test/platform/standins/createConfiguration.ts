/** Operator's configuration for tests: two kinds of request to a ledger service and two kinds of stream from a model. */
import createRoute from './createRoute.js';

export default function createConfiguration(
  version: number,
  extra: readonly unknown[] = [],
): unknown {
  return {
    version,
    routes: [
      createRoute('/read/', 'ledger'),
      createRoute('/book/', 'ledger', { kind: 'non_idempotent', maxAttempts: 1 }),
      createRoute('/audit/', 'model', { kind: 'streaming', sticky: true, resumable: true }),
      createRoute('/verdict/', 'model', { kind: 'streaming', sticky: true, maxAttempts: 1 }),
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
      idleTimeoutMs: 15_000,
    },
  };
}
