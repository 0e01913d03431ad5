/** An instance of a plain service, with the given differences. */
import type Instance from 'rhubarbcroft/instances/Instance';

const INSTANCE: Instance = {
  id: 'i',
  service: 's',
  address: '127.0.0.1:1',
  domain: 'a',
  slots: 4,
  isLeaving: false,
  stage: undefined,
  coldRemainingMs: 0,
  startedAtMs: 1_000,
  sequence: 1,
};

export default function createInstance(changes: Partial<Instance> = {}): Instance {
  return { ...INSTANCE, ...changes };
}
