/** What the process holds for one exchange, on the account of its process, until its response closes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type HeldRequest from '../decisions/intake/HeldRequest.js';
import type IntakeAccount from './IntakeAccount.js';

export default class Holding implements HeldRequest {
  readonly #account: IntakeAccount;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  #heldBytes = 0;

  #movedAtMs: number;

  #isClosed = false;

  #refuseBody: (() => void) | undefined;

  constructor(account: IntakeAccount, request: IncomingMessage, response: ServerResponse) {
    this.#account = account;
    this.#request = request;
    this.#response = response;
    this.#movedAtMs = account.nowMs;
    response.once('close', () => this.close());
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  get movedAtMs(): number {
    return this.#movedAtMs;
  }

  get phase(): HeldRequest['phase'] {
    if (this.#response.writableEnded) {
      return 'unread';
    }
    return this.#request.complete ? 'running' : 'receiving';
  }

  /** Sets what refuses the request while its body is incomplete. */
  onShed(refuseBody: () => void): void {
    this.#refuseBody = refuseBody;
  }

  noteMove(): void {
    this.#movedAtMs = this.#account.nowMs;
  }

  /** Returns false when the bytes may not be held, and after the response has closed. */
  reserve(bytes: number): boolean {
    if (this.#isClosed || !this.#account.reserve(this, bytes)) {
      return false;
    }
    this.#heldBytes += bytes;
    this.noteMove();
    return true;
  }

  release(): void {
    this.#account.release(this, this.#heldBytes);
    this.#heldBytes = 0;
  }

  /** Gives way to another request: a body is refused, an answer that is not taken is cut. */
  shed(): void {
    if (this.phase === 'receiving') {
      this.#refuseBody?.();
    } else {
      this.#response.destroy();
    }
    this.release();
  }

  /** Ends the account of the exchange. A response behind another one does not close with its connection. */
  close(): void {
    this.#isClosed = true;
    this.release();
  }
}
