/** Lets an attempt begin beside the one that it is to follow, up to the head of its answer. */
interface AttemptGate {
  /** Called once the endpoint has accepted the request. */
  readonly accept: () => void;
  /** Resolves when the attempt may use the relay and read its answer. */
  readonly turn: Promise<void>;
}

export default AttemptGate;
