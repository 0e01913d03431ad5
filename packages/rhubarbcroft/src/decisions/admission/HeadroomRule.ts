/**
 * Keeps the engines' own queues short, so that rank and floors decide which request runs next, and reserves
 * the last slots of each engine for more urgent requests.
 *
 * The nodes of a domain see the same headroom at the same time. To prevent all of them from filling it, a node
 * lowers its backlog limit for each node that has precedence at an engine; the order changes with each report.
 */
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type EngineRole from '@rhubarbcroft/protocol/fleet/EngineRole';
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';
import type EndpointView from '../EndpointView.js';
import estimateBacklogTokens from '../estimateBacklogTokens.js';
import estimateRunning from '../estimateRunning.js';
import type Work from '../Work.js';
import type CachedPrefix from '../routing/CachedPrefix.js';
import type Route from '../routing/Route.js';
import DispatchRule from './DispatchRule.js';

/** The share of an engine's slots that each rank may use. */
const SLOT_FRACTION: Readonly<Record<Rank, number>> = { urgent: 1, standard: 0.9, patient: 0.8 };
/** The prefill backlog of an engine up to which each rank is dispatched to it. */
const MAX_BACKLOG_MS: Readonly<Record<Rank, number>> = { urgent: 100, standard: 300, patient: 600 };
/**
 * How much the backlog limit is lowered for each node with precedence: about as long as other nodes take to
 * learn of a dispatch.
 */
const HEADROOM_PER_NODE_MS = 60;
const MS_PER_S = 1_000;

/** The roles that decode fast enough for each rank; the steps of a prefill engine are long. */
const DECODING_ROLES: Readonly<Record<Rank, readonly EngineRole[]>> = {
  urgent: ['mixed', 'decode'],
  standard: ['mixed', 'decode'],
  patient: ['mixed', 'decode', 'prefill'],
};

/** Whether one of these engines decodes fast enough for the request's rank. */
function canServe({ rank }: Work, engines: readonly EndpointView[]): boolean {
  return engines.some(({ role }) => DECODING_ROLES[rank].includes(role));
}

export default class HeadroomRule extends DispatchRule {
  override filter(
    work: Work,
    candidates: readonly EndpointView[],
    cachedPrefixes: ReadonlyMap<string, CachedPrefix>,
  ): readonly EndpointView[] {
    const available = candidates.filter((candidate) => candidate.available);
    const withHeadroom = available.filter(
      (candidate) =>
        HeadroomRule.#hasSlot(work, candidate) &&
        HeadroomRule.#hasBacklogHeadroom(work, candidate, cachedPrefixes.get(candidate.id)),
    );
    return canServe(work, withHeadroom) || !canServe(work, available) ? withHeadroom : [];
  }

  override allows(work: Work, route: Route, endpoint: EndpointView): boolean {
    const ownPrefillMs = (work.promptTokens / endpoint.prefillTokensPerS) * MS_PER_S;
    return route.expectedFirstTokenMs - ownPrefillMs <= MAX_BACKLOG_MS[work.rank];
  }

  static #hasSlot({ rank }: Work, endpoint: EndpointView): boolean {
    const slots = endpoint.slots * SLOT_FRACTION[rank] * endpoint.rampFraction;
    return estimateRunning(endpoint) < slots;
  }

  /**
   * An engine without backlog is open to every node. Nodes do not yield to each other at an engine that is
   * assumed to have the prefix cached, so that requests with the same prefix can run there whichever node
   * received them. An engine that is known to have it cached has no backlog limit, since the prefix shortens
   * the prefills in its backlog.
   */
  static #hasBacklogHeadroom(
    { rank }: Work,
    endpoint: EndpointView,
    prefix?: CachedPrefix,
  ): boolean {
    const backlogTokens = estimateBacklogTokens(endpoint, RANKS.indexOf(rank));
    const backlogMs = (backlogTokens / endpoint.prefillTokensPerS) * MS_PER_S;
    const reservedMs = prefix === undefined ? endpoint.nodesAhead * HEADROOM_PER_NODE_MS : 0;
    return prefix?.seen === true || backlogMs <= Math.max(0, MAX_BACKLOG_MS[rank] - reservedMs);
  }
}
