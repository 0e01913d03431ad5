/** When the steps of a planned stop take place, in milliseconds after the stop signal. */
interface StopTimes {
  /** Until when the node accepts connections, since the balancer may not have noticed the stop. */
  readonly acceptMs: number;
  /** When requests that are still open are ended with an answer of the node's own. */
  readonly answerMs: number;
  /** When the process exits, whatever is open. */
  readonly exitMs: number;
}

export default StopTimes;
