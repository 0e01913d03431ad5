/** Finds the account of a bearer token in the fleet document; other callers may have anonymous access. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import Authenticator from './Authenticator.js';
import type CallerIdentity from './CallerIdentity.js';

const ANONYMOUS: CallerIdentity = {
  account: 'anonymous',
  team: 'anonymous',
  scopes: ['call'],
  tokensPerS: Infinity,
};
const BEARER = /^Bearer (\S+)$/i;

export default class BearerAuthenticator extends Authenticator<CallerIdentity> {
  readonly #currentFleet: CurrentFleet;

  readonly #anonymous: boolean;

  constructor(currentFleet: CurrentFleet, anonymous: boolean) {
    super();
    this.#currentFleet = currentFleet;
    this.#anonymous = anonymous;
  }

  override authenticate(authorization: string | undefined): Result<CallerIdentity, Failure> {
    const identity = super.authenticate(authorization);
    return this.#anonymous && identity.isErr ? ok(ANONYMOUS) : identity;
  }

  protected override readKey(authorization: string): string | undefined {
    return BEARER.exec(authorization)?.[1];
  }

  protected override findByHash(hash: string): CallerIdentity | undefined {
    const account = this.#currentFleet.current?.accountsByTokenHash.get(hash);
    if (account === undefined) {
      return undefined;
    }
    const { name, team, scopes, tokensPerS } = account;
    return { account: name, team, scopes, tokensPerS };
  }
}
