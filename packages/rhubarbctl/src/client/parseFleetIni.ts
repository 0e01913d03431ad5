/**
 * Parses a fleet file, which has an INI section `[KIND NAME]` for each item, such as
 * `[endpoint engine-1]`. Converts values to the types of the fleet schema; the server validates the
 * document against the schema. Errors are `CONFIGURATION_INVALID` with the title of the section.
 */
import { parse } from 'ini';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';

type Section = Readonly<Record<string, unknown>>;

const LIST_BY_KIND: Readonly<Record<string, string>> = {
  endpoint: 'endpoints',
  model: 'models',
  service: 'services',
  rule: 'rules',
  kind: 'kinds',
  account: 'accounts',
  change: 'changes',
};
const NUMERIC_KEYS = new Set([
  'slots',
  'prefillTokensPerS',
  'decodeTokensPerS',
  'deadlineMs',
  'weight',
  'floor',
  'worth',
  'tokensPerS',
]);
const LIST_KEYS = new Set(['idempotentMethods', 'tokenHashes', 'scopes']);
const BOOLEAN_KEYS = new Set(['plannedRoles']);

function parseLabels(text: string): Readonly<Record<string, string>> {
  const pairs = text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
  return Object.fromEntries(
    pairs.map((pair) => [pair.split('=')[0].trim(), pair.split('=').slice(1).join('=').trim()]),
  );
}

function parseValue(key: string, value: unknown): unknown {
  const text = String(value);
  if (key === 'labels') {
    return parseLabels(text);
  }
  if (NUMERIC_KEYS.has(key)) {
    return Number(text);
  }
  if (LIST_KEYS.has(key)) {
    return text.split(',').map((part) => part.trim());
  }
  return BOOLEAN_KEYS.has(key) ? text === 'true' : text;
}

export default function parseFleetIni(
  text: string,
): Result<Readonly<Record<string, readonly unknown[]>>, Failure> {
  const document: Record<string, unknown[]> = {};
  for (const [title, section] of Object.entries<Section>(parse(text))) {
    const [kind, ...rest] = title.split(' ');
    const list = LIST_BY_KIND[kind];
    const name = rest.join(' ').trim();
    if (list === undefined || name === '') {
      const expected = Object.keys(LIST_BY_KIND).join(', ');
      return err(
        createFailure(
          'CONFIGURATION_INVALID',
          `[${title}]: expected one of ${expected}, followed by a name`,
        ),
      );
    }
    const values = Object.entries(section).map(([key, value]) => [key, parseValue(key, value)]);
    const item = { [kind === 'endpoint' ? 'id' : 'name']: name, ...Object.fromEntries(values) };
    document[list] = [...(document[list] ?? []), item];
  }
  return ok(document);
}
