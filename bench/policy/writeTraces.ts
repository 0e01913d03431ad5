/** Regenerates every recorded trace in bench/traces: `node --import tsx bench/policy/writeTraces.ts`. */
import { writeFileSync } from 'node:fs';
import createTrace from './createTrace.js';
import traceSpecs from './traceSpecs.js';

for (const spec of traceSpecs) {
  const { requests, ...header } = createTrace(spec);
  const names = header.kinds.map((kind) => kind.name);
  const lines = requests.map((request) =>
    [
      request.atMs,
      names.indexOf(request.kind),
      request.promptTokens,
      request.outputTokens,
      request.conversation,
      request.sharedPieces,
    ].join(','),
  );
  const path = new URL(`../traces/${spec.name}.csv`, import.meta.url);
  writeFileSync(path, `${[JSON.stringify(header), ...lines].join('\n')}\n`);
}
