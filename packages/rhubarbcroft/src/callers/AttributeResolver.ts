/**
 * Resolves the attributes of a request from its headers, then from the first placement rule whose selector
 * matches the request's labels, then from the defaults.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Labels from '@rhubarbcroft/protocol/labels/Labels';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type Clock from '../supervision/Clock.js';
import type RequestAttributes from './RequestAttributes.js';

interface AttributeResolverOptions {
  readonly currentFleet: CurrentFleet;
  readonly clock: Clock;
  readonly defaultDeadlineMs: number;
  readonly ownRegion: string;
}

const DEFAULT_KIND = 'general';
const DEFAULT_RANK: Rank = 'standard';
const MAX_KIND_LENGTH = 64;

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

export default class AttributeResolver {
  readonly #options: AttributeResolverOptions;

  constructor(options: AttributeResolverOptions) {
    this.#options = options;
  }

  /** Fails with `UNKNOWN_RANK` or `DEADLINE_PAST` if the rank or the deadline is not valid. */
  resolve(headers: IncomingHttpHeaders, labels: Labels): Result<RequestAttributes, Failure> {
    const { currentFleet, clock, defaultDeadlineMs, ownRegion } = this.#options;
    const kind = (readHeader(headers, 'rhubarb-kind') ?? DEFAULT_KIND).slice(0, MAX_KIND_LENGTH);
    const rule = currentFleet.current?.findRule({ ...labels, kind, region: ownRegion });
    const rank = readHeader(headers, 'rhubarb-rank') ?? rule?.rank ?? DEFAULT_RANK;
    if (!RANKS.includes(rank as Rank)) {
      return err(createFailure('UNKNOWN_RANK', `"${rank}"`));
    }
    const deadlineText = readHeader(headers, 'rhubarb-deadline-ms');
    const deadlineMs =
      deadlineText === undefined ? (rule?.deadlineMs ?? defaultDeadlineMs) : Number(deadlineText);
    if (!(deadlineMs > 0)) {
      return err(createFailure('DEADLINE_PAST', `"${deadlineText}"`));
    }
    const arrivedAtMs = clock.nowMs();
    return ok({
      kind,
      rank: rank as Rank,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + deadlineMs,
      where: rule?.where ?? '',
      region: rule?.region,
    });
  }
}
