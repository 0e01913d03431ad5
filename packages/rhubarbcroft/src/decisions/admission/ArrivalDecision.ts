/** Whether a request is admitted at its arrival; if not, why, and when the caller should return. */
type ArrivalDecision =
  | { readonly admitted: true }
  | {
      readonly admitted: false;
      readonly cause: 'late' | 'late_return' | 'over_share';
      /** The time within which the first token had to be expected. */
      readonly budgetMs: number;
      readonly retryAfterMs: number;
    };

export default ArrivalDecision;
