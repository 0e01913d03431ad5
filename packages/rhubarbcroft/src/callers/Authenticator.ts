/**
 * Finds the account of a bearer token. Tokens are looked up by their SHA-256 hash, so that neither the fleet
 * document nor the duration of a comparison reveals anything about a token.
 */
import { createHash } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type CallerIdentity from './CallerIdentity.js';

const ANONYMOUS: CallerIdentity = {
  account: 'anonymous',
  team: 'anonymous',
  scopes: ['call'],
  tokensPerS: Infinity,
};
const BEARER = /^Bearer (\S+)$/i;

export default class Authenticator {
  readonly #currentFleet: CurrentFleet;

  readonly #anonymous: boolean;

  constructor(currentFleet: CurrentFleet, anonymous: boolean) {
    this.#currentFleet = currentFleet;
    this.#anonymous = anonymous;
  }

  /** Fails with `UNAUTHENTICATED` if the token is missing or unknown and anonymous access is off. */
  authenticate(authorization: string | undefined): Result<CallerIdentity, Failure> {
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      return this.#anonymous
        ? ok(ANONYMOUS)
        : err(createFailure('UNAUTHENTICATED', 'no bearer token was sent'));
    }
    const hash = createHash('sha256').update(token).digest('hex');
    const account = this.#currentFleet.current?.accountsByTokenHash.get(hash);
    if (account === undefined) {
      return this.#anonymous
        ? ok(ANONYMOUS)
        : err(createFailure('UNAUTHENTICATED', 'no account has this token'));
    }
    const { name, team, scopes, tokensPerS } = account;
    return ok({ account: name, team, scopes, tokensPerS });
  }
}
