/** The fields of the state dump (`GET /v1/state`) that rhubarbctl shows. */
interface StateResponse {
  readonly node: {
    readonly own: { readonly nodeId: string; readonly domain: string };
    readonly liveInDomain: readonly string[];
    readonly heard: readonly {
      readonly nodeId: string;
      readonly ageMs: number;
      readonly leaving: boolean;
    }[];
  };
  readonly drains: readonly { readonly endpointId: string; readonly remainingMs: number }[];
  readonly suspects: number;
  readonly memory: { readonly rss: number; readonly heapUsed: number };
  readonly uptimeS: number;
  readonly tree: {
    readonly children: {
      readonly endpoints: readonly {
        readonly id: string;
        readonly role: string;
        readonly available: boolean;
        readonly leaving: boolean;
        readonly reportedRunning: number;
        readonly slots: number;
        readonly ownRequests: number;
        readonly reportAgeMs: number;
      }[];
      readonly callers: { readonly temporary: number };
    };
  };
}

export default StateResponse;
