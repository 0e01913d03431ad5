/**
 * One run of an endpoint, as it registered itself. An endpoint that starts anew is another instance,
 * even under the same id: `startedAtMs` (Unix time) tells them apart.
 */
interface Instance {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly domain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Which part of a generation an engine runs; undefined for a plain service. */
  readonly stage: 'prefill' | 'decode' | undefined;
  /** How much longer the instance is slow after its start. */
  readonly coldRemainingMs: number;
  readonly startedAtMs: number;
  /** Grows with each statement of one instance about itself. */
  readonly sequence: number;
}

export default Instance;
