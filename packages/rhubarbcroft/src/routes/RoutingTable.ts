/** Finds the route and the client account of a request in one version of the routing document. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import AccountAuthenticator from '../callers/AccountAuthenticator.js';
import type ClientAccount from './ClientAccount.js';
import type Route from './Route.js';
import type RoutingDocument from './RoutingDocument.js';
import type ServiceDefinition from './ServiceDefinition.js';

export default class RoutingTable {
  readonly document: RoutingDocument;

  readonly #routes: ReadonlyMap<string, Route>;

  readonly #services: ReadonlyMap<string, ServiceDefinition>;

  /** Undefined when the document has no accounts. */
  readonly #authenticator: AccountAuthenticator | undefined;

  constructor(document: RoutingDocument) {
    this.document = document;
    this.#routes = new Map(
      document.routes.map((route) => [`${route.host.toLowerCase()}${route.prefix}`, route]),
    );
    this.#services = new Map(document.services.map((service) => [service.name, service]));
    this.#authenticator = document.accounts && new AccountAuthenticator(document.accounts);
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

  /** Whether the document has accounts, so that the system sets the headers about them. */
  get hasAccounts(): boolean {
    return this.#authenticator !== undefined;
  }

  /**
   * Finds the account whose key a caller of the route sent; none when the document has no accounts. A public route needs
   * no key, and a key that it does not know counts as none there. Fails with `UNAUTHENTICATED` otherwise.
   */
  findAccount(
    { isPublic }: Route,
    apiKey: string | undefined,
  ): Result<ClientAccount | undefined, Failure> {
    if (this.#authenticator === undefined) {
      return ok(undefined);
    }
    const account = this.#authenticator.authenticate(apiKey);
    return account.isErr && isPublic === true ? ok(undefined) : account;
  }

  findService(name: string): ServiceDefinition | undefined {
    return this.#services.get(name);
  }
}
