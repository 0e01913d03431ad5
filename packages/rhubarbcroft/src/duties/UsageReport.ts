/** The number of requests by account that began to run in one window of true time. */
interface UsageReport {
  /** Number of the window; window k begins k times the window's length after the start of 1970. */
  readonly window: number;
  readonly countsByAccount: Readonly<Record<string, number>>;
}

export default UsageReport;
