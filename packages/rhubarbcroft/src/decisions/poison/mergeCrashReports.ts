/** Merges what a node newly learns of a crash into what it knows. */
import type CrashReport from './CrashReport.js';

interface Merged {
  readonly report: CrashReport;
  /** Only what was not known before; undefined if there was nothing. */
  readonly news: CrashReport | undefined;
}

const MAX_PROMPTS = 256;

function createKey(prompt: readonly string[]): string {
  return prompt.join(' ');
}

function listNew(known: readonly string[], added: readonly string[]): readonly string[] {
  const seen = new Set(known);
  return [...new Set(added)].filter((part) => !seen.has(part));
}

export default function mergeCrashReports(
  known: CrashReport | undefined,
  added: CrashReport,
): Merged {
  const base = known ?? { ...added, prompts: [], provenBefore: [], cleared: [] };
  const promptKeys = new Set(base.prompts.map(createKey));
  const addedPrompts = new Map(added.prompts.map((prompt) => [createKey(prompt), prompt]));
  const prompts = [...addedPrompts]
    .flatMap(([key, prompt]) => (promptKeys.has(key) ? [] : [prompt]))
    .slice(0, Math.max(0, MAX_PROMPTS - base.prompts.length));
  const provenBefore = listNew(base.provenBefore, added.provenBefore);
  const cleared = listNew(base.cleared, added.cleared);
  const hasNews = prompts.length + provenBefore.length + cleared.length > 0;
  return {
    report: {
      run: base.run,
      atMs: Math.min(base.atMs, added.atMs),
      prompts: [...base.prompts, ...prompts],
      provenBefore: [...base.provenBefore, ...provenBefore],
      cleared: [...base.cleared, ...cleared],
    },
    news: hasNews ? { ...added, prompts, provenBefore, cleared } : undefined,
  };
}
