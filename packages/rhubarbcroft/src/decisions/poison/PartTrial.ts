/** One request was dispatched to test whether a prompt part still crashes engines. */
interface PartTrial {
  readonly part: string;
  readonly startedAtMs: number;
}

export default PartTrial;
