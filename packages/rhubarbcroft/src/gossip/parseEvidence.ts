/** Checks the crash reports and trials of a peer; undefined when they are malformed or too large. */
import type CrashReport from '../decisions/poison/CrashReport.js';
import type PartTrial from '../decisions/poison/PartTrial.js';

interface Evidence {
  readonly reports: readonly CrashReport[];
  readonly trials: readonly PartTrial[];
}

/** Far above what a node sends at once. */
const MAX_ENTRIES = 1_024;
const MAX_TEXT_LENGTH = 256;

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isAge(value: unknown): value is number {
  return Number.isFinite(value) && Number(value) >= 0;
}

function isListOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): value is readonly Item[] {
  return Array.isArray(value) && value.length <= MAX_ENTRIES && value.every(isItem);
}

function isTextList(value: unknown): value is readonly string[] {
  return isListOf(value, isText);
}

type WireCrash = readonly [
  string,
  number,
  readonly (readonly string[])[],
  readonly string[],
  readonly string[],
];

function isCrash(value: unknown): value is WireCrash {
  if (!Array.isArray(value)) {
    return false;
  }
  const [run, ageMs, prompts, provenBefore, cleared] = value as readonly unknown[];
  return (
    isText(run) &&
    isAge(ageMs) &&
    isListOf(prompts, isTextList) &&
    isTextList(provenBefore) &&
    isTextList(cleared)
  );
}

function isTrial(value: unknown): value is readonly [string, number] {
  return Array.isArray(value) && isText(value[0]) && isAge(value[1]);
}

export default function parseEvidence(
  { crashes = [], trials = [] }: { readonly crashes?: unknown; readonly trials?: unknown },
  nowMs: number,
): Evidence | undefined {
  if (!isListOf(crashes, isCrash) || !isListOf(trials, isTrial)) {
    return undefined;
  }
  return {
    reports: crashes.map(([run, ageMs, prompts, provenBefore, cleared]) => ({
      run,
      atMs: nowMs - ageMs,
      prompts,
      provenBefore,
      cleared,
    })),
    trials: trials.map(([part, ageMs]) => ({ part, startedAtMs: nowMs - ageMs })),
  };
}
