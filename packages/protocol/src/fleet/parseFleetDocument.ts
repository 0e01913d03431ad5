/**
 * Parses a fleet document and checks what the schema alone cannot: selectors, unique names,
 * references and the sum of the floors. Errors are `CONFIGURATION_INVALID` with the path of the
 * invalid field.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import parseSelector from '../labels/parseSelector.js';
import type Failure from '../results/Failure.js';
import createFailure from '../results/createFailure.js';
import type FleetDocument from './FleetDocument.js';
import fleetSchema from './fleetSchema.js';

function findDuplicate(names: readonly string[]): string | undefined {
  const visited = new Set<string>();
  return names.find((name) => visited.size === visited.add(name).size);
}

function findSelectorError(document: FleetDocument): string | undefined {
  const selectors: readonly (readonly [string, string])[] = [
    ...document.models.map((model) => [`models.${model.name}.where`, model.where] as const),
    ...document.services.map(
      (service) => [`services.${service.name}.where`, service.where] as const,
    ),
    ...document.rules.map((rule) => [`rules.${rule.name}.match`, rule.match] as const),
    ...document.rules.map((rule) => [`rules.${rule.name}.where`, rule.where] as const),
  ];
  for (const [path, text] of selectors) {
    const selector = parseSelector(text);
    if (selector.isErr) {
      return `${path}: ${selector.error.detail}`;
    }
  }
  return undefined;
}

function findNameError(document: FleetDocument): string | undefined {
  const lists: readonly (readonly [string, readonly string[]])[] = [
    ['endpoints', document.endpoints.map((endpoint) => endpoint.id)],
    ['models', document.models.map((model) => model.name)],
    ['services', document.services.map((service) => service.name)],
    ['rules', document.rules.map((rule) => rule.name)],
    ['kinds', document.kinds.map((kind) => kind.name)],
    ['accounts', document.accounts.map((account) => account.name)],
    ['changes', document.changes.map((change) => change.name)],
  ];
  for (const [list, names] of lists) {
    const duplicate = findDuplicate(names);
    if (duplicate !== undefined) {
      return `${list}: "${duplicate}" is declared more than once; names in a list must be unique`;
    }
  }
  const endpointIds = new Set(document.endpoints.map((endpoint) => endpoint.id));
  const dangling = document.changes.find((change) => !endpointIds.has(change.endpoint));
  return dangling === undefined
    ? undefined
    : `changes.${dangling.name}.endpoint: endpoint "${dangling.endpoint}" is not declared`;
}

function findFloorError(document: FleetDocument): string | undefined {
  const total = document.kinds.reduce((sum, kind) => sum + kind.floor, 0);
  return total > 1
    ? `kinds: the floors add up to ${total.toFixed(2)}; the sum must not exceed 1`
    : undefined;
}

export default function parseFleetDocument(input: unknown): Result<FleetDocument, Failure> {
  const validated = fleetSchema.safeParse(input);
  if (!validated.success) {
    const issue = validated.error.issues[0];
    return err(
      createFailure(
        'CONFIGURATION_INVALID',
        `${issue.path.join('.') || 'document'}: ${issue.message}`,
      ),
    );
  }
  const document: FleetDocument = validated.data;
  const problem =
    findNameError(document) ?? findSelectorError(document) ?? findFloorError(document);
  return problem === undefined
    ? ok(document)
    : err(createFailure('CONFIGURATION_INVALID', problem));
}
