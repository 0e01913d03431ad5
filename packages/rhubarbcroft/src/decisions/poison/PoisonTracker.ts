/**
 * Identifies requests that crash the endpoints they run on.
 *
 * When an endpoint crashes, every request that ran on it becomes a suspect, unless suspects already ran
 * there: then the crash counts against those only. A suspect request is retried in isolation. After a second
 * crash within the hold time it is held, that is, not run any more; after a success it is cleared.
 */
import type Clock from '../../supervision/Clock.js';
import type CrashEvidence from './CrashEvidence.js';

type SuspectStatus = 'clear' | 'suspect' | 'held';

const CRASHES_TO_HOLD = 2;
/** How long evidence counts. */
const HOLD_MS = 3_600_000;
const MAX_FINGERPRINTS = 8_192;

export default class PoisonTracker {
  readonly #clock: Clock;

  readonly #evidence = new Map<string, readonly CrashEvidence[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a crash that this node observed; returns the evidence that was not known yet. */
  recordCrash(
    endpointId: string,
    bootId: string,
    running: readonly string[],
  ): readonly CrashEvidence[] {
    const suspects = running.filter((fingerprint) => this.getStatus(fingerprint) !== 'clear');
    const blamed = suspects.length > 0 ? suspects : running;
    const atMs = this.#clock.nowMs();
    const evidenceList = blamed.map((fingerprint) => ({
      fingerprint,
      endpointId,
      bootId,
      alone: blamed.length === 1,
      atMs,
    }));
    return evidenceList.filter((evidence) => this.add(evidence));
  }

  /** Adds evidence of this node or of a peer; returns false if the same crash was already recorded. */
  add(evidence: CrashEvidence): boolean {
    const known = this.#evidence.get(evidence.fingerprint) ?? [];
    const isDuplicate = known.some(
      (other) => other.endpointId === evidence.endpointId && other.bootId === evidence.bootId,
    );
    if (isDuplicate) {
      return false;
    }
    this.#evidence.delete(evidence.fingerprint);
    this.#evidence.set(evidence.fingerprint, [...known, evidence].slice(-CRASHES_TO_HOLD));
    this.#evict();
    return true;
  }

  /** Removes the evidence against a request; returns whether there was any. */
  clear(fingerprint: string): boolean {
    return this.#evidence.delete(fingerprint);
  }

  getStatus(fingerprint: string): SuspectStatus {
    const oldestMs = this.#clock.nowMs() - HOLD_MS;
    const recent = (this.#evidence.get(fingerprint) ?? []).filter(
      (evidence) => evidence.atMs > oldestMs,
    );
    if (recent.length === 0) {
      return 'clear';
    }
    return recent.length >= CRASHES_TO_HOLD ? 'held' : 'suspect';
  }

  list(): readonly CrashEvidence[] {
    return [...this.#evidence.values()].flat();
  }

  #evict(): void {
    for (const fingerprint of this.#evidence.keys()) {
      if (this.#evidence.size <= MAX_FINGERPRINTS) {
        return;
      }
      this.#evidence.delete(fingerprint);
    }
  }
}
