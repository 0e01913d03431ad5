/**
 * Computes the offline upper bound, in engine seconds: the most work that any policy could complete in time
 * if it knew the whole trace.
 *
 * The fleet is modelled as a fluid that prefills and decodes at the best rate of a specialised engine, changes
 * roles at no cost, caches every prefix, and may serve a fraction of a request. Earliest deadline first without
 * expired work is optimal in this model, so no real policy can complete more.
 */
import TinyQueue from 'tinyqueue';
import type Trace from './Trace.js';
import computeEngineSeconds from './computeEngineSeconds.js';
import computeDeadlineMs from './computeDeadlineMs.js';

interface PendingWork {
  readonly deadlineMs: number;
  /** Engine seconds still to serve. */
  left: number;
}

const MS_PER_S = 1_000;

export default function computeBound(trace: Trace): number {
  const queue = new TinyQueue<PendingWork>([], (a, b) => a.deadlineMs - b.deadlineMs);
  let servedS = 0;
  let nowMs = 0;
  const serveUntil = (untilMs: number): void => {
    while (nowMs < untilMs && queue.length > 0) {
      const first = queue.peek() as PendingWork;
      const rate = trace.engines / MS_PER_S;
      const spanMs = Math.min(
        untilMs - nowMs,
        first.left / rate,
        Math.max(0, first.deadlineMs - nowMs),
      );
      servedS += spanMs * rate;
      first.left -= spanMs * rate;
      nowMs += spanMs;
      if (first.left <= 1e-9 || first.deadlineMs <= nowMs) {
        queue.pop();
      }
    }
    nowMs = Math.max(nowMs, untilMs);
  };
  for (const request of trace.requests) {
    serveUntil(request.atMs);
    queue.push({
      deadlineMs: computeDeadlineMs(trace, request),
      left: computeEngineSeconds(request),
    });
  }
  serveUntil(Infinity);
  return servedS;
}
