/**
 * A feed of the store that makes no calls while a leader, a node of the same failure domain, relays the
 * store's changes to this node. A node that others follow uses short calls, so that it detects soon when the
 * store no longer answers.
 */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import ChangeFeed from '../discovery/ChangeFeed.js';
import type FeedPage from '../discovery/FeedPage.js';
import type WaitLimits from '../discovery/WaitLimits.js';
import type GossipState from './GossipState.js';
import type LeaderLink from './LeaderLink.js';

interface FollowedFeedOptions<Value> {
  readonly feed: ChangeFeed<Value>;
  readonly state: GossipState;
  readonly leader: LeaderLink;
  /** Whether the leader has a newer version whose content must be read from the store itself. */
  readonly isBehind: () => boolean;
}

/** Followers learn of a silent connection of their leader only from the leader, and then list the table themselves. */
const LEADER_HOLD_MS = 1_000;

export default class FollowedFeed<Value> extends ChangeFeed<Value> {
  override readonly name: string;

  readonly #options: FollowedFeedOptions<Value>;

  constructor(options: FollowedFeedOptions<Value>) {
    super();
    this.#options = options;
    this.name = options.feed.name;
  }

  override list(signal: AbortSignal): Promise<Result<FeedPage<Value>, Failure>> {
    return this.#options.feed.list(signal);
  }

  override async waitForChanges(
    afterVersion: number,
    limits: WaitLimits,
    signal: AbortSignal,
  ): Promise<Result<FeedPage<Value> | 'expired' | 'unsure', Failure>> {
    const { feed, state, leader, isBehind } = this.#options;
    if (!leader.isFollowing) {
      const cutMs = state.hasFollowers ? Math.max(0, limits.holdMs - LEADER_HOLD_MS) : 0;
      const { holdMs, timeoutMs } = limits;
      const adjusted = { holdMs: holdMs - cutMs, timeoutMs: timeoutMs - cutMs };
      return feed.waitForChanges(afterVersion, adjusted, signal);
    }
    while (leader.isFollowing && !isBehind() && !signal.aborted) {
      await leader.waitForUpdate(signal);
    }
    return ok('unsure');
  }
}
