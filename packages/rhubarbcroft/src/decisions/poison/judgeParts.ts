/**
 * Decides what is responsible for crashes. A prompt part is blamed when no answer has begun on it since several crashes
 * that nothing else explains. Requests that ran beside a poisonous one share some of the crashes, so the part with the
 * most crashes is blamed first, and its crashes then count against no other part. What no part explains is judged by
 * whole requests in the same way.
 */
import type CrashReport from './CrashReport.js';
import type PartVerdict from './PartVerdict.js';
import isRequestKey from './isRequestKey.js';

const CRASHES_TO_BLAME = 2;
/** Answers have begun on the part before, so that it is less likely to be poisonous. */
const CRASHES_TO_BLAME_PROVEN = 3;
/** Among more parts with the same crashes, evidence does not distinguish the cause from its companions. */
const MAX_EQUAL_PARTS = 4;

/** Which suspects of a prompt are judged. */
type SuspectList = (prompt: readonly string[]) => readonly string[];

interface SuspectPart {
  readonly part: string;
  readonly isProven: boolean;
  readonly crashes: readonly CrashReport[];
}

/** The parts of one prompt that may have caused a crash: those without any answer, if there are some. */
function listSuspects(
  prompt: readonly string[],
  cleared: ReadonlySet<string>,
  proven: ReadonlySet<string>,
): readonly string[] {
  const open = prompt.filter((part) => !cleared.has(part));
  const unproven = open.filter((part) => !proven.has(part));
  return unproven.length > 0 ? unproven : open;
}

function hasSuspects({ prompts, cleared }: CrashReport): boolean {
  const done = new Set(cleared);
  return prompts.some((prompt) => prompt.some((part) => !done.has(part)));
}

function collectSuspects(
  reports: readonly CrashReport[],
  list: SuspectList,
): readonly SuspectPart[] {
  const suspects = new Map<string, SuspectPart>();
  reports.forEach((report) => {
    const cleared = new Set(report.cleared);
    const proven = new Set(report.provenBefore);
    const parts = new Set(
      report.prompts.flatMap((prompt) => listSuspects(list(prompt), cleared, proven)),
    );
    parts.forEach((part) => {
      const known = suspects.get(part);
      suspects.set(part, {
        part,
        isProven: (known?.isProven ?? false) || proven.has(part),
        crashes: [...(known?.crashes ?? []), report],
      });
    });
  });
  return [...suspects.values()];
}

function countNeeded({ isProven }: SuspectPart): number {
  return isProven ? CRASHES_TO_BLAME_PROVEN : CRASHES_TO_BLAME;
}

function findDepth({ part, crashes }: SuspectPart): number {
  return Math.max(
    ...crashes.flatMap(({ prompts }) => prompts.map((prompt) => prompt.indexOf(part))),
  );
}

/**
 * Among parts with the same crashes, those furthest back in their prompts: more requests share the parts in front, so
 * that a false verdict on them costs more, and one more crash tells them apart if they are the cause.
 */
function chooseBlamed(equal: readonly SuspectPart[]): readonly SuspectPart[] {
  const depth = Math.max(...equal.map(findDepth));
  const blamed = equal.filter((suspect) => findDepth(suspect) === depth);
  return blamed.length > MAX_EQUAL_PARTS ? [] : blamed;
}

function createKey({ crashes }: SuspectPart): string {
  return crashes.map(({ run }) => run).join(' ');
}

/** Judges one kind of suspects; returns the verdicts and the reports that they do not explain. */
function judge(
  reports: readonly CrashReport[],
  list: SuspectList,
): { readonly verdicts: readonly PartVerdict[]; readonly left: readonly CrashReport[] } {
  const verdicts: PartVerdict[] = [];
  let left = reports;
  for (;;) {
    const suspects = collectSuspects(left, list).filter(
      (suspect) => suspect.crashes.length >= countNeeded(suspect),
    );
    const best = suspects.toSorted(
      (a, b) =>
        Number(a.isProven) - Number(b.isProven) ||
        b.crashes.length - a.crashes.length ||
        (createKey(a) < createKey(b) ? -1 : 1),
    )[0];
    if (best === undefined) {
      return { verdicts, left };
    }
    const equal = suspects.filter(
      (suspect) => suspect.isProven === best.isProven && createKey(suspect) === createKey(best),
    );
    chooseBlamed(equal).forEach((suspect) => {
      const { part, crashes } = suspect;
      verdicts.push({
        part,
        crashes: crashes.length,
        repeats: crashes.length - countNeeded(suspect),
        lastCrashAtMs: Math.max(...crashes.map(({ atMs }) => atMs)),
      });
    });
    left = left.filter((report) => !best.crashes.includes(report));
  }
}

export default function judgeParts(reports: readonly CrashReport[]): readonly PartVerdict[] {
  const open = reports.filter(hasSuspects).sort((a, b) => (a.run < b.run ? -1 : 1));
  const byPart = judge(open, (prompt) => prompt.filter((suspect) => !isRequestKey(suspect)));
  const byRequest = judge(byPart.left, (prompt) => prompt.filter(isRequestKey));
  return [...byPart.verdicts, ...byRequest.verdicts];
}
