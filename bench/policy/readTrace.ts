/** Reads a recorded trace: a header line in JSON, then one line of comma-separated numbers for each request. */
import { readFileSync } from 'node:fs';
import type Trace from './Trace.js';

export default function readTrace(path: URL): Trace {
  const [head, ...lines] = readFileSync(path, 'utf8').trim().split('\n');
  const header = JSON.parse(head) as Omit<Trace, 'requests'>;
  const requests = lines.map((line) => {
    const [atMs, kind, promptTokens, outputTokens, conversation, sharedPieces] = line
      .split(',')
      .map(Number);
    return {
      atMs,
      kind: header.kinds[kind].name,
      promptTokens,
      outputTokens,
      conversation,
      sharedPieces,
    };
  });
  return { ...header, requests };
}
