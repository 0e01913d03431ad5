/** What the head of a caller's request means in one version of the routing document. */
import type ClientAccount from '../routes/ClientAccount.js';
import type Route from '../routes/Route.js';
import type RoutingTable from '../routes/RoutingTable.js';
import type RequestMetadata from './RequestMetadata.js';

interface MatchedRequest {
  readonly table: RoutingTable;
  readonly route: Route;
  /** Undefined when the document has no accounts, and on public routes without a known key. */
  readonly account: ClientAccount | undefined;
  readonly metadata: RequestMetadata;
}

export default MatchedRequest;
