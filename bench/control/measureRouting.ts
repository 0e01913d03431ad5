/** Measures the time of one routing decision, including the creation of the views of all candidates. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type Work from 'rhubarbcroft/decisions/Work';
import COST_ROUTING from 'rhubarbcroft/decisions/routing/COST_ROUTING';
import CostRouter from 'rhubarbcroft/decisions/routing/CostRouter';
import EndpointState from 'rhubarbcroft/endpoints/EndpointState';
import type PartCost from './PartCost.js';
import createEndpoint from './createEndpoint.js';
import measureHeap from './measureHeap.js';
import measureStepUs from './measureStepUs.js';

type Prefix = 'none' | 'unseen';

export default function measureRouting(replicas: number, prefix: Prefix = 'none'): PartCost {
  const { value: states, heapBytes } = measureHeap(() =>
    Array.from(
      { length: replicas },
      (_unused, index) =>
        new EndpointState(
          {
            ...(createEndpoint(index) as {
              readonly id: string;
              readonly url: string;
              readonly labels: Readonly<Record<string, string>>;
            }),
            kind: 'engine',
            domain: 'd',
            region: 'r',
            fencing: 'checked',
            slots: 32,
            prefillTokensPerS: 8_000,
            decodeTokensPerS: 1_600,
          },
          0,
        ),
    ),
  );
  const router = new CostRouter(
    { ...COST_ROUTING, ownDomain: 'd', ownRegion: 'r', crossRegionPenaltyMs: 400 },
    xoroshiro128plus(1),
  );
  const work: Work = {
    requestId: 'r',
    kind: 'k',
    rank: 'urgent',
    promptTokens: 1_000,
    outputTokens: 300,
    prefixKeys: [],
    arrivedAtMs: 0,
    deadlineAtMs: 10_000,
  };
  const usPerStep = measureStepUs((round) => {
    const prefixKeys = prefix === 'none' ? [] : [`prefix ${round}`];
    router.choose(
      { ...work, prefixKeys },
      states.map((state) => state.createView(round, false, { index: 0, count: 24 })),
    );
  });
  return {
    part: `routing decision with views, prefix: ${prefix}`,
    size: replicas,
    heapBytes,
    usPerStep,
  };
}
