/** A prompt part, or the key of a request, that is held responsible for crashes. */
interface PartVerdict {
  readonly part: string;
  readonly crashes: number;
  /** Crashes beyond those that were needed to blame the part. */
  readonly repeats: number;
  readonly lastCrashAtMs: number;
}

export default PartVerdict;
