/**
 * Computes the offset by which the order of the nodes that dispatch to an endpoint is rotated: a hash of its
 * load report, so that all nodes with the same report agree, and the order changes with most reports of a
 * busy endpoint. The result is an unsigned 32-bit integer.
 */
import { createHash } from 'node:crypto';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';

export default function computeRotationOffset(report: LoadReport): number {
  const { endpointId, running, queuedPromptTokens, pendingOutputTokens } = report;
  const text = [endpointId, running, ...queuedPromptTokens, pendingOutputTokens].join(' ');
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
