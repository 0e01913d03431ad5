/**
 * What may be repeated on a route: an idempotent request may run more than once, a non-idempotent one
 * at most once, and a stream at most once unless its route says that it can be resumed.
 */
type RouteKind = 'idempotent' | 'non_idempotent' | 'stream';

export default RouteKind;
