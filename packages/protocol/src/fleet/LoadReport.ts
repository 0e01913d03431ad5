/**
 * The load that an endpoint reports. The figures describe its state `ageMs` before the report was
 * received.
 */
import type EngineRole from './EngineRole.js';

interface LoadReport {
  readonly endpointId: string;
  readonly bootId: string;
  readonly role: EngineRole;
  readonly changing: boolean;
  readonly leaving: boolean;
  /** Maximum number of concurrent requests in the current role. */
  readonly slots: number;
  /** Prefill rate in the current role, in tokens per second. */
  readonly prefillTokensPerS: number;
  readonly running: number;
  /** Prompt tokens that still have to be prefilled, by rank, most urgent first. */
  readonly queuedPromptTokens: readonly number[];
  readonly pendingOutputTokens: number;
  /** Age of the figures when they were received, in milliseconds. */
  readonly ageMs: number;
}

export default LoadReport;
