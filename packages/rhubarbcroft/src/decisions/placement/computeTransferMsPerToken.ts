/** The KV transfer time of one token inside a failure domain, in milliseconds, from the configured link speed. */
import type EngineLimits from '../../routes/EngineLimits.js';

const BITS_PER_BYTE = 8;
const KILOBITS_PER_MEGABIT = 1_000;

export default function computeTransferMsPerToken({
  kvBytesPerToken,
  linkMbps,
}: EngineLimits): number {
  return (kvBytesPerToken * BITS_PER_BYTE) / (linkMbps * KILOBITS_PER_MEGABIT);
}
