/**
 * Authenticates an operator by bearer token, either the root token of the settings or that of an account in
 * the fleet document, and checks that the account has the scope that the request needs.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type CurrentFleet from '../configuration/CurrentFleet.js';

type Scope = 'read' | 'operate' | 'administer';

const BEARER = /^Bearer (\S+)$/i;

function hashToken(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

export default class OperatorAuthenticator {
  readonly #currentFleet: CurrentFleet;

  readonly #rootHash: Buffer;

  constructor(currentFleet: CurrentFleet, rootToken: string) {
    this.#currentFleet = currentFleet;
    this.#rootHash = hashToken(rootToken);
  }

  /** Returns the operator's name, or `UNAUTHENTICATED` or `FORBIDDEN`. */
  authorize(authorization: string | undefined, scope: Scope): Result<string, Failure> {
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      return err(createFailure('UNAUTHENTICATED', 'no bearer token was sent'));
    }
    const hash = hashToken(token);
    if (timingSafeEqual(hash, this.#rootHash)) {
      return ok('root');
    }
    const account = this.#currentFleet.current?.accountsByTokenHash.get(hash.toString('hex'));
    if (account === undefined) {
      return err(createFailure('UNAUTHENTICATED', 'no account has this token'));
    }
    const allowed = account.scopes.includes(scope) || account.scopes.includes('administer');
    return allowed
      ? ok(account.name)
      : err(
          createFailure(
            'FORBIDDEN',
            `account "${account.name}" does not have the scope "${scope}"`,
          ),
        );
  }
}
