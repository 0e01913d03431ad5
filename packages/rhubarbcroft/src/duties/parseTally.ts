/** Checks the tally of a peer; undefined when it is malformed. */
import type ServiceDemand from './ServiceDemand.js';
import type Tally from './Tally.js';
import type UsageReport from './UsageReport.js';

const MAX_TEXT_LENGTH = 256;
const MAX_ENTRIES = 65_536;
const DEMAND_FIELDS = 6;

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function parseWindow(value: unknown): UsageReport | undefined {
  if (!Array.isArray(value) || value.length > MAX_ENTRIES || !Number.isSafeInteger(value[0])) {
    return undefined;
  }
  const [window, ...fields] = value as unknown as readonly [number, ...unknown[]];
  const counts: [string, number][] = [];
  for (let at = 0; at < fields.length; at += 2) {
    const account = fields[at];
    const count = fields[at + 1];
    if (!isText(account) || !isAmount(count)) {
      return undefined;
    }
    counts.push([account, count]);
  }
  return { window, countsByAccount: Object.fromEntries(counts) };
}

function parseDemand(value: unknown): ServiceDemand | undefined {
  if (!Array.isArray(value) || value.length !== DEMAND_FIELDS) {
    return undefined;
  }
  const [service, ...amounts] = value as readonly unknown[];
  if (!isText(service) || !amounts.every(isAmount)) {
    return undefined;
  }
  const [requests, prefillTokens, memoryTokens, outputTokens, refused] = amounts;
  return { service, requests, prefillTokens, memoryTokens, outputTokens, refused };
}

function parseList<Item>(
  value: unknown,
  parse: (item: unknown) => Item | undefined,
): readonly Item[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_ENTRIES) {
    return undefined;
  }
  const items = value.map(parse).filter((item) => item !== undefined);
  return items.length === value.length ? items : undefined;
}

export default function parseTally(
  encoded: Readonly<Partial<Record<keyof Tally, unknown>>>,
): Tally | undefined {
  const { node, domain, process, unixMs, closedWindow, isLast } = encoded;
  const windows = parseList(encoded.windows, parseWindow);
  const demand = parseList(encoded.demand, parseDemand);
  const isValid =
    isText(node) && isText(domain) && isText(process) && isAmount(unixMs) && isAmount(closedWindow);
  return isValid && typeof isLast === 'boolean' && windows !== undefined && demand !== undefined
    ? { node, domain, process, unixMs, closedWindow, isLast, windows, demand }
    : undefined;
}
