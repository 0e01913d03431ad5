/** Encodes crash reports and trials for the peers. */
import type CrashReport from '../decisions/poison/CrashReport.js';
import type PartTrial from '../decisions/poison/PartTrial.js';
import type WireEvidence from './WireEvidence.js';

export default function encodeEvidence(
  reports: readonly CrashReport[],
  trials: readonly PartTrial[],
  nowMs: number,
): WireEvidence {
  const toAgeMs = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
  return {
    crashes: reports.map(({ run, atMs, prompts, provenBefore, cleared }) => [
      run,
      toAgeMs(atMs),
      prompts,
      provenBefore,
      cleared,
    ]),
    trials: trials.map(({ part, startedAtMs }) => [part, toAgeMs(startedAtMs)]),
  };
}
