/** Lists the traces of a run: the recorded ones, or new ones with other seeds, on which no policy was tuned. */
import { readdirSync } from 'node:fs';
import type Trace from './Trace.js';
import createTrace from './createTrace.js';
import readTrace from './readTrace.js';
import traceSpecs from './traceSpecs.js';

const RECORDED = new URL('../traces/', import.meta.url);

/** `seedOffset` is added to the seed of each specification; 0 reads the recorded traces. */
export default function listTraces(prefix: string, seedOffset: number): readonly Trace[] {
  if (seedOffset > 0) {
    return traceSpecs
      .filter(({ name }) => name.startsWith(prefix))
      .map((spec) => createTrace({ ...spec, seed: spec.seed + seedOffset }));
  }
  return readdirSync(RECORDED)
    .filter((file) => file.endsWith('.csv') && file.startsWith(prefix))
    .map((file) => readTrace(new URL(file, RECORDED)));
}
