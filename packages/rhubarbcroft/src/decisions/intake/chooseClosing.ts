/**
 * Chooses the connections that make room for others when a listener has nearly as many as it may. Answers crowds of
 * heads that drip and of connections that are only kept: those that wait longest for their caller close first, and
 * none that is being served. A caller has a second to send its request.
 */
import type WaitingConnection from './WaitingConnection.js';

const MIN_WAIT_MS = 1_000;

export default function chooseClosing<Connection extends WaitingConnection>(
  connections: readonly Connection[],
  count: number,
  nowMs: number,
): readonly Connection[] {
  return connections
    .filter(({ isServing, sinceMs }) => !isServing && nowMs - sinceMs >= MIN_WAIT_MS)
    .sort((left, right) => left.sinceMs - right.sinceMs)
    .slice(0, count);
}
