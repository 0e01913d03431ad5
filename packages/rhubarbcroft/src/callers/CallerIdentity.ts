/** The authenticated caller: its account, team and scopes, and the rate that the account may use. */
interface CallerIdentity {
  readonly account: string;
  readonly team: string;
  readonly scopes: readonly string[];
  readonly tokensPerS: number;
}

export default CallerIdentity;
