/**
 * Whether requests of a route may be repeated: an idempotent request may run more than once, a non-idempotent
 * one at most once, and a stream at most once unless its route is resumable.
 */
type RouteKind = 'idempotent' | 'non_idempotent' | 'stream';

export default RouteKind;
