/** Merges batches of notices into one, in order. */
import type WireNotices from './WireNotices.js';

export default function mergeNotices(
  batches: readonly WireNotices[],
  scope: WireNotices['scope'],
): WireNotices {
  const evidence = batches.flatMap((batch) => batch.evidence ?? []);
  const paces = batches.flatMap((batch) => batch.paces ?? []);
  return {
    type: 'notices',
    scope,
    sends: batches.flatMap(({ sends }) => sends),
    unreachable: [...new Set(batches.flatMap(({ unreachable }) => unreachable))],
    ...(paces.length === 0 ? {} : { paces }),
    evidence:
      evidence.length === 0
        ? undefined
        : {
            crashes: evidence.flatMap(({ crashes }) => crashes),
            trials: evidence.flatMap(({ trials }) => trials),
          },
  };
}
