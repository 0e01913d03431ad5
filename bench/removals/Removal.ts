/** A mechanism, the source change that removes it from the daemon, and the test that must then fail. */
interface Removal {
  readonly mechanism: string;
  /** Path relative to `packages/rhubarbcroft/src`. */
  readonly file: string;
  /** Text that occurs exactly once in the file, and its replacement. */
  readonly from: string;
  readonly to: string;
  /** Text contained in the title of the test; passed to `mocha --fgrep`. */
  readonly test: string;
}

export default Removal;
