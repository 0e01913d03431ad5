/** Compares two fleet documents: one line for each item that was added (+), removed (-) or changed (~). */
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';

const SHOWN_HASH_LENGTH = 6;

type Item = Readonly<Record<string, unknown>>;

/** Shortens token hashes to a prefix, so that the differences do not reveal them in full. */
function truncateTokenHashes(key: string, value: unknown): unknown {
  return key === 'tokenHashes'
    ? (value as readonly string[]).map((hash) => hash.slice(0, SHOWN_HASH_LENGTH))
    : value;
}

function serializeItemsByName(items: readonly Item[]): ReadonlyMap<string, string> {
  return new Map(
    items.map((item) => [String(item.id ?? item.name), JSON.stringify(item, truncateTokenHashes)]),
  );
}

function compareList(
  list: string,
  before: readonly Item[],
  after: readonly Item[],
): readonly string[] {
  const oldItems = serializeItemsByName(before);
  const newItems = serializeItemsByName(after);
  const removed = [...oldItems.keys()]
    .filter((name) => !newItems.has(name))
    .map((name) => `- ${list}.${name}`);
  const added = [...newItems.keys()]
    .filter((name) => !oldItems.has(name))
    .map((name) => `+ ${list}.${name}`);
  const changed = [...newItems]
    .filter(([name, item]) => oldItems.has(name) && oldItems.get(name) !== item)
    .map(([name, item]) => `~ ${list}.${name}: ${oldItems.get(name)} -> ${item}`);
  return [...removed, ...added, ...changed];
}

export default function findDifferences(
  before: FleetDocument,
  after: FleetDocument,
): readonly string[] {
  const lists = Object.keys(after) as readonly (keyof FleetDocument)[];
  return lists.flatMap((list) => compareList(list, before[list] ?? [], after[list]));
}
