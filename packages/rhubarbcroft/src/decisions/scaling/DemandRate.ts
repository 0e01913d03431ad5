/** The demand for a service in the whole fleet, per second. */
interface DemandRate {
  readonly requestsPerS: number;
  readonly prefillTokensPerS: number;
  readonly memoryTokensPerS: number;
  readonly outputTokensPerS: number;
  readonly refusedPerS: number;
}

export default DemandRate;
