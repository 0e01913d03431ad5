/**
 * Counts the ends of a listener's connections by reason, and writes one log line for each request that its connection
 * left without a complete answer. Connections beyond the limit share one line a second, with their count.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type ConnectionEnd from './ConnectionEnd.js';

interface ConnectionEndRecorderOptions {
  readonly listener: string;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

const REFUSAL_LINE_PERIOD_MS = 1_000;

export default class ConnectionEndRecorder {
  readonly #options: ConnectionEndRecorderOptions;

  #refusedCount = 0;

  #lastRefusalLineMs = -Infinity;

  constructor(options: ConnectionEndRecorderOptions) {
    this.#options = options;
  }

  record({ reason, detail, unanswered }: ConnectionEnd): void {
    const { listener, log } = this.#options;
    this.#count(reason, unanswered.length > 0);
    for (const request of unanswered) {
      log.info(
        { listener, reason, detail, ...request, headComplete: request.requestId !== undefined },
        'connection ended before its request was answered',
      );
    }
  }

  /** Records a connection that was closed on arrival because the listener has `maxConnections` open. */
  recordRefused(maxConnections: number): void {
    const { listener, log, clock } = this.#options;
    this.#count('connection_limit', false);
    this.#refusedCount += 1;
    const nowMs = clock.nowMs();
    if (nowMs - this.#lastRefusalLineMs >= REFUSAL_LINE_PERIOD_MS) {
      log.warn(
        { listener, maxConnections, refusedCount: this.#refusedCount },
        'connections closed on arrival: the limit of open connections is reached',
      );
      this.#refusedCount = 0;
      this.#lastRefusalLineMs = nowMs;
    }
  }

  #count(reason: ConnectionEnd['reason'], unanswered: boolean): void {
    const { listener, metrics } = this.#options;
    metrics.increment('connection_ends', { listener, reason, unanswered: String(unanswered) });
  }
}
