/** Crash reports and trials as they are sent to peers: with ages, since the nodes' clocks differ. */
interface WireEvidence {
  /** Run, age in ms, prompts, parts proven before, cleared parts. */
  readonly crashes: readonly (readonly [
    string,
    number,
    readonly (readonly string[])[],
    readonly string[],
    readonly string[],
  ])[];
  /** Part, age in ms. */
  readonly trials: readonly (readonly [string, number])[];
}

export default WireEvidence;
