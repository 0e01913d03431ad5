/** The endpoint of a request. `prefillId` is set when another engine prefills the prompt first. */
interface Route {
  readonly endpointId: string;
  readonly prefillId?: string;
  /** The expected time to first token. */
  readonly expectedFirstTokenMs: number;
}

export default Route;
