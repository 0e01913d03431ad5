/** Ownership by rendezvous hashing: balanced, the same on every node, and stable when a node is removed. */
import { expect } from 'chai';
import fc from 'fast-check';
import chooseOwner from 'rhubarbcroft/decisions/chooseOwner';

const NODES = Array.from({ length: 24 }, (_unused, index) => `vm-${index}`);
const KEYS = Array.from({ length: 2_400 }, (_unused, index) => `key-${index}`);
const RUNS = { seed: 7, numRuns: 100 };

describe('rendezvous hashing', () => {
  it('chooses the same owner in whatever order the nodes are listed', () => {
    const shuffled = fc.shuffledSubarray(NODES, { minLength: 1 });
    fc.assert(
      fc.property(fc.string(), shuffled, (key, nodes) => {
        expect(chooseOwner(key, nodes)).to.equal(chooseOwner(key, [...nodes].sort()));
      }),
      RUNS,
    );
  });

  it('moves only the keys of a removed node', () => {
    fc.assert(
      fc.property(fc.string(), fc.constantFrom(...NODES), (key, removed) => {
        const before = chooseOwner(key, NODES);
        const remaining = NODES.filter((node) => node !== removed);
        if (before !== removed) {
          expect(chooseOwner(key, remaining)).to.equal(before);
        }
      }),
      RUNS,
    );
  });

  it('assigns no node more than 1.5 times its even share of the keys', () => {
    const keysByNode = NODES.map((node) => KEYS.filter((key) => chooseOwner(key, NODES) === node));
    const share = KEYS.length / NODES.length;
    expect(Math.max(...keysByNode.map((keys) => keys.length))).to.be.below(share * 1.5);
  });
});
