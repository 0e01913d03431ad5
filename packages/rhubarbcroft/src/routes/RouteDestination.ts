/** A service that a route sends to, with its weight among the route's destinations. */
interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

export default RouteDestination;
