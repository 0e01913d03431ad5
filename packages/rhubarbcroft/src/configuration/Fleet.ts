/**
 * A fleet document prepared for routing: parsed selectors and the indexes that the handling of a request
 * needs.
 */
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';
import type FleetVersion from '@rhubarbcroft/protocol/fleet/FleetVersion';
import type Labels from '@rhubarbcroft/protocol/labels/Labels';
import type SelectorTerm from '@rhubarbcroft/protocol/labels/SelectorTerm';
import matchesSelector from '@rhubarbcroft/protocol/labels/matchesSelector';
import parseSelector from '@rhubarbcroft/protocol/labels/parseSelector';

type Endpoint = FleetDocument['endpoints'][number];
type Rule = FleetDocument['rules'][number];

function resolveSelector(text: string): readonly SelectorTerm[] {
  return parseSelector(text).unwrapOr([]);
}

function indexByName<Item extends { readonly name: string }>(
  items: readonly Item[],
): ReadonlyMap<string, Item> {
  return new Map(items.map((item) => [item.name, item]));
}

export default class Fleet {
  readonly version: number;

  readonly document: FleetDocument;

  readonly endpointsById: ReadonlyMap<string, Endpoint>;

  readonly modelsByName: ReadonlyMap<string, FleetDocument['models'][number]>;

  readonly servicesByName: ReadonlyMap<string, FleetDocument['services'][number]>;

  readonly kindsByName: ReadonlyMap<string, FleetDocument['kinds'][number]>;

  readonly accountsByTokenHash: ReadonlyMap<string, FleetDocument['accounts'][number]>;

  readonly #rules: readonly { readonly rule: Rule; readonly match: readonly SelectorTerm[] }[];

  readonly #endpointsBySelectors = new Map<string, readonly Endpoint[]>();

  constructor({ version, document }: FleetVersion) {
    this.version = version;
    this.document = document;
    this.endpointsById = new Map(document.endpoints.map((endpoint) => [endpoint.id, endpoint]));
    this.modelsByName = indexByName(document.models);
    this.servicesByName = indexByName(document.services);
    this.kindsByName = indexByName(document.kinds);
    this.accountsByTokenHash = new Map(
      document.accounts.flatMap((account) =>
        account.tokenHashes.map((hash) => [hash, account] as const),
      ),
    );
    this.#rules = document.rules.map((rule) => ({ rule, match: resolveSelector(rule.match) }));
  }

  /** Returns the first rule whose selector matches the labels of a request. */
  findRule(labels: Labels): Rule | undefined {
    return this.#rules.find(({ match }) => matchesSelector(match, labels))?.rule;
  }

  /** Returns the endpoints of one kind that match both selectors; cached for each combination. */
  findEndpoints(kind: Endpoint['kind'], where: string, ruleWhere: string): readonly Endpoint[] {
    const key = `${kind}\n${where}\n${ruleWhere}`;
    const cached = this.#endpointsBySelectors.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const terms = [...resolveSelector(where), ...resolveSelector(ruleWhere)];
    const found = this.document.endpoints.filter(
      (endpoint) => endpoint.kind === kind && matchesSelector(terms, endpoint.labels),
    );
    this.#endpointsBySelectors.set(key, found);
    return found;
  }

  /** Whether the document declares a drain of the endpoint. */
  isDraining(endpointId: string): boolean {
    return this.document.changes.some(
      (change) => change.action === 'drain' && change.endpoint === endpointId,
    );
  }
}
