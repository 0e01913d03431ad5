/**
 * Whether a transaction took effect; if not, the rows whose version condition failed, each as
 * `table/key`.
 */
type CommitOutcome =
  | { readonly committed: true }
  | { readonly committed: false; readonly conflicts: readonly string[] };

export default CommitOutcome;
