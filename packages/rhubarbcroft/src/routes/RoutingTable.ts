/** Finds the route of a request in one version of the routing document. */
import type Route from './Route.js';
import type RoutingDocument from './RoutingDocument.js';
import type ServiceDefinition from './ServiceDefinition.js';

export default class RoutingTable {
  readonly document: RoutingDocument;

  readonly #routes: ReadonlyMap<string, Route>;

  readonly #services: ReadonlyMap<string, ServiceDefinition>;

  constructor(document: RoutingDocument) {
    this.document = document;
    this.#routes = new Map(
      document.routes.map((route) => [`${route.host.toLowerCase()}${route.prefix}`, route]),
    );
    this.#services = new Map(document.services.map((service) => [service.name, service]));
  }

  /** Finds the host's route with the longest prefix of the path, which is given without its query. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase();
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = this.#routes.get(`${name}${path.slice(0, end + 1)}`);
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  findService(name: string): ServiceDefinition | undefined {
    return this.#services.get(name);
  }
}
