/** The retry budget that nodes share without coordination: the fleet must not exceed its bound in any window. */
import { expect } from 'chai';
import fc from 'fast-check';
import FleetRetryBudget from 'rhubarbcroft/decisions/retries/FleetRetryBudget';

const NODES = 7;
const WINDOW_MS = 10_000;
const BOUND = { ratio: 0.2, windowMs: WINDOW_MS, reserve: 54, countNodes: () => NODES };

describe('the retry budget of a fleet', () => {
  it('stays within the bound in every window, however requests and retries are distributed over nodes', () => {
    const event = fc.record({
      node: fc.integer({ min: 0, max: NODES - 1 }),
      gapMs: fc.integer({ min: 0, max: 120 }),
      retries: fc.integer({ min: 0, max: 4 }),
    });
    fc.assert(
      fc.property(fc.array(event, { minLength: 1, maxLength: 600 }), (events) => {
        const budgets = Array.from({ length: NODES }, () => new FleetRetryBudget(BOUND));
        const requestsAtMs: number[] = [];
        const extrasAtMs: number[] = [];
        let nowMs = 0;
        events.forEach(({ node, gapMs, retries }) => {
          nowMs += gapMs;
          budgets[node].recordRequest('s', nowMs);
          requestsAtMs.push(nowMs);
          for (let retry = 0; retry < retries; retry += 1) {
            if (budgets[node].spend('s', nowMs)) {
              extrasAtMs.push(nowMs);
            }
          }
        });
        return extrasAtMs.every((endMs) => {
          const inWindow = (atMs: number): boolean => atMs > endMs - WINDOW_MS && atMs <= endMs;
          const allowed = requestsAtMs.filter(inWindow).length * BOUND.ratio + BOUND.reserve;
          return extrasAtMs.filter(inWindow).length <= allowed;
        });
      }),
    );
  });

  it('allows retries on a node with little traffic, and counts services separately', () => {
    const budget = new FleetRetryBudget(BOUND);
    budget.recordRequest('a', 0);
    const spent = Array.from({ length: 10 }, () => budget.spend('a', 1)).filter(Boolean).length;
    expect([spent, budget.spend('b', 1), budget.spend('a', WINDOW_MS + 2)]).to.deep.equal([
      6,
      true,
      true,
    ]);
  });
});
