/** Snapshots of the nodes that may dispatch to a busy engine, and of the roles that serve each rank. */
import { expect } from 'chai';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type EndpointView from 'rhubarbcroft/decisions/EndpointView';
import type Work from 'rhubarbcroft/decisions/Work';
import type CachedPrefix from 'rhubarbcroft/decisions/routing/CachedPrefix';
import HeadroomRule from 'rhubarbcroft/decisions/admission/HeadroomRule';

const NODES = 8;
const TOKENS_PER_S = 10_000;
const NO_CACHED_PREFIXES: ReadonlyMap<string, CachedPrefix> = new Map();

function createView(change: Partial<EndpointView>): EndpointView {
  return {
    id: 'engine-1',
    domain: 'litoral',
    region: 'litoral',
    role: 'mixed',
    slots: 32,
    prefillTokensPerS: TOKENS_PER_S,
    decodeTokensPerS: 1_600,
    reportedRunning: 0,
    reportedPromptTokens: [0, 0, 0],
    reportedOutputTokens: 0,
    reportAgeMs: 0,
    unseenRequests: 0,
    unseenPromptTokens: [0, 0, 0],
    ownRequests: 0,
    rampFraction: 1,
    available: true,
    nodesAhead: 0,
    ...change,
  };
}

function createWork(rank: Work['rank']): Work {
  return {
    requestId: 'a',
    kind: 'audit',
    rank,
    promptTokens: 4_000,
    outputTokens: 100,
    prefixKeys: [],
    arrivedAtMs: 0,
    deadlineAtMs: 60_000,
  };
}

describe('the headroom rule', () => {
  const rule = new HeadroomRule();

  it('admits fewer nodes the longer an engine’s backlog is, and all nodes if it has none', () => {
    const table = [0, 50, 100, 200, 300, 600, 700].map((backlogMs) => {
      const reportedPromptTokens = [(backlogMs * TOKENS_PER_S) / 1_000, 0, 0];
      const admitted = RANKS.map((rank) => {
        const views = Array.from({ length: NODES }, (_unused, nodesAhead) =>
          createView({ nodesAhead, reportedPromptTokens }),
        );
        return rule.filter(createWork(rank), views, NO_CACHED_PREFIXES).length;
      });
      return `${backlogMs} ms: ${admitted.join(' ')}`;
    });
    expect(table).toMatchSnapshot();
  });

  it('ignores node precedence where the prefix may be cached, and the backlog where it is cached', () => {
    const countAdmitted = (backlogTokens: number, cachedPrefix: CachedPrefix): number =>
      rule.filter(
        createWork('urgent'),
        [createView({ reportedPromptTokens: [backlogTokens, 0, 0], nodesAhead: 3 })],
        new Map([['engine-1', cachedPrefix]]),
      ).length;
    const table = [500, 5_000].map((tokens) => [
      countAdmitted(tokens, { blocks: 0.5, seen: false }),
      countAdmitted(tokens, { blocks: 1, seen: true }),
    ]);
    expect(table).to.deep.equal([
      [1, 1],
      [0, 1],
    ]);
  });

  it('excludes engines whose role decodes too slowly for the rank', () => {
    const roles = ['prefill', 'decode', 'mixed'] as const;
    const full = { reportedRunning: 32 };
    const table = roles.map((open) => {
      const fleet = roles.map((role) =>
        createView({ id: role, role, ...(role === open ? {} : full) }),
      );
      const served = RANKS.filter(
        (rank) => rule.filter(createWork(rank), fleet, NO_CACHED_PREFIXES).length > 0,
      );
      return `only ${open} has room: ${served.join(' ')}`;
    });
    expect(table).toMatchSnapshot();
  });
});
