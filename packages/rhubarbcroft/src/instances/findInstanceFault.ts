/**
 * Finds why an instance from the store or from a peer cannot be used; undefined when it can. The types of its fields are
 * checked too: an entry may come from another writer, and a peer may run another version of this program.
 */
import type Instance from './Instance.js';
import isAddress from './isAddress.js';

/** Ids are sent in headers, and are part of row keys of at most 200 bytes. */
const ID = /^[\x21-\x7e]{1,128}$/;
const MAX_COUNT = 2_147_483_647;
/** In the year 2286; a later start or a higher count would outrank all further registrations of the instance. */
const MAX_START_MS = 9_999_999_999_999;
const STAGES: ReadonlySet<unknown> = new Set([undefined, 'prefill', 'decode']);

function isCount(value: unknown, max = MAX_COUNT): boolean {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= max;
}

export default function findInstanceFault(instance: Instance): string | undefined {
  const checks: Readonly<Record<keyof Instance, boolean>> = {
    id: typeof instance.id === 'string' && ID.test(instance.id),
    service: typeof instance.service === 'string',
    address: isAddress(instance.address),
    domain: typeof instance.domain === 'string',
    slots: isCount(instance.slots) && instance.slots > 0,
    isLeaving: typeof instance.isLeaving === 'boolean',
    isSpot: instance.isSpot === undefined || typeof instance.isSpot === 'boolean',
    leavesInMs: instance.leavesInMs === undefined || isCount(instance.leavesInMs),
    stage: STAGES.has(instance.stage),
    coldRemainingMs:
      typeof instance.coldRemainingMs === 'number' &&
      Math.abs(instance.coldRemainingMs) <= MAX_COUNT,
    startedAtMs: isCount(instance.startedAtMs, MAX_START_MS),
    sequence: isCount(instance.sequence),
  };
  const invalid = Object.entries(checks).find(([, isValid]) => !isValid)?.[0];
  return invalid === undefined ? undefined : `field "${invalid}" has an invalid value`;
}
