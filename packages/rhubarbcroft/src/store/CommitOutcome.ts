/** Whether a transaction took effect; when it did not, the keys whose condition failed as `table/key`. */
type CommitOutcome =
  | { readonly committed: true }
  | { readonly committed: false; readonly conflicts: readonly string[] };

export default CommitOutcome;
