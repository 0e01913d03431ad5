/**
 * One run of an endpoint, as it registered itself. A restarted endpoint is another instance, even with
 * the same id: `startedAtMs` (Unix time) distinguishes them.
 */
interface Instance {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly domain: string;
  /** How many requests it runs at the same time. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Whether the platform may reclaim it at short notice. */
  readonly isSpot?: boolean;
  /** When it leaves, as reported with its leaving: the time left at the moment of the report. */
  readonly leavesInMs?: number | undefined;
  /** The phase of a generation that an engine runs; undefined for a plain service. */
  readonly stage: 'prefill' | 'decode' | undefined;
  /** The remaining warm-up time, in which the instance is slower. */
  readonly coldRemainingMs: number;
  readonly startedAtMs: number;
  /** Increases with each update that a run registers. */
  readonly sequence: number;
}

export default Instance;
