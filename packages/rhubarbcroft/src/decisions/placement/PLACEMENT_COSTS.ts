/** What the placement of prompts reckons with, in milliseconds of expected wait. */
const PLACEMENT_COSTS = {
  /** One way between regions on the users' sheet, there and back, for a send. */
  elsewhereMs: 60,
  /** One way between failure domains of a region on the users' sheet, there and back. */
  regionMs: 2,
  /**
   * What a request's bytes over a paid link are worth in waiting: a prompt's body costs a few hundredths of a
   * request, as a tenth of a second of prefill does.
   */
  paidLinkMs: 100,
  /** A decode engine prefills at half the speed of a prefill engine (the engines' protocol). */
  decodePrefillFactor: 2,
  /** Set-up of one transfer of KV cache, on the users' sheet. */
  transferSetupMs: 3,
  /** What handing over is worth avoiding: a second send of the body and a transfer that is priced. */
  handOverMs: 20,
  /** What each running request adds to the time of a step times the steps of a short answer. */
  runningMs: 2,
  /** What a certain failure would cost: about a target latency. */
  failureMs: 800,
} as const;

export default PLACEMENT_COSTS;
