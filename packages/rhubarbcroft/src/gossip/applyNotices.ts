/**
 * Applies the notices of a peer: its dispatches, the endpoints that it could not reach, what it learnt of their paces, and
 * its crash reports.
 */
import type Logger from 'bunyan';
import type DispatchedPrompt from './DispatchedPrompt.js';
import type GossipState from './GossipState.js';
import type WireNotices from './WireNotices.js';
import parsePace from './parsePace.js';

type WireDispatch = WireNotices['sends'][number];

function decodeDispatch([
  instanceId,
  rank,
  prefillMs,
  outputTokens,
  ...parts
]: WireDispatch): DispatchedPrompt {
  const sharedParts = [];
  for (let at = 0; at + 1 < parts.length; at += 2) {
    sharedParts.push({ id: String(parts[at]), tokens: Number(parts[at + 1]) });
  }
  const ownTokens = parts.length % 2 === 0 ? 0 : Number(parts.at(-1));
  return { instanceId, rank, prefillMs, outputTokens, ownTokens, sharedParts };
}

export default function applyNotices(
  state: GossipState,
  { sends, unreachable, paces, evidence }: WireNotices,
  log: Logger,
): void {
  sends.forEach((dispatch) => state.recordDispatch(decodeDispatch(dispatch)));
  unreachable.forEach((instanceId) => state.recordUnreachable(instanceId));
  paces?.forEach((pace) => state.recordPace(parsePace(pace)));
  if (evidence !== undefined && !state.mergeEvidence(evidence)) {
    log.warn('received malformed crash reports from a peer; ignoring them');
  }
}
