/**
 * Derives the time limits of the feeds from the bounds of the deployment. Connections may fall silent without an error.
 * A node whose connection fell silent counts as in contact again `contactMs` later and must have read by then what it
 * has missed, whatever it was doing when the silence began. A change that arrives normally has to be in force within
 * `drainMs` or `configApplyMs`.
 */
import type FeedTiming from './FeedTiming.js';

interface ContactBounds {
  /** Time after a disturbance from which a node counts as in contact with the store. */
  readonly contactMs: number;
  /** Time within which a node has to stop using an instance that leaves. */
  readonly drainMs: number;
  /** Time within which a routing document has to be in force. */
  readonly configApplyMs: number;
}

/** Share of `contactMs` that is kept for a listing on a new connection. */
const LISTING_SHARE = 0.15;
/** Share of `contactMs` that is allowed for an answer; a slow store takes a quarter of a second. */
const ANSWER_SHARE = 0.175;
/** Share of the shorter bound on changes that a change may wait for the next call. */
const SPACING_SHARE = 1 / 3;

export default function deriveFeedTiming({
  contactMs,
  drainMs,
  configApplyMs,
}: ContactBounds): FeedTiming {
  return {
    detectMs: contactMs * (1 - LISTING_SHARE),
    answerMs: contactMs * ANSWER_SHARE,
    spacingMs: Math.min(drainMs, configApplyMs) * SPACING_SHARE,
  };
}
