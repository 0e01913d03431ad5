/** A service that receives requests of a route, and its weight among the route's destinations. */
interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

export default RouteDestination;
