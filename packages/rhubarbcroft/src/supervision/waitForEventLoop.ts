/**
 * Waits until the event loop has read the bytes that the kernel held for open connections at the call, and has
 * accepted a waiting connection: one turn accepts it, the next reads its bytes, a third runs what they caused.
 */
import { setImmediate as waitForNextTurn } from 'node:timers/promises';

const TURNS = 3;

export default async function waitForEventLoop(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await waitForNextTurn();
  }
}
