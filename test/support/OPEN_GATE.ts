/** The gate of an attempt that leads from the start. */
import type AttemptGate from 'rhubarbcroft/forwarding/AttemptGate';

const OPEN_GATE: AttemptGate = { accept: () => undefined, turn: Promise.resolve() };

export default OPEN_GATE;
