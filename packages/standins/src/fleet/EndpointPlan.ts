/** An endpoint of a local fleet: the stand-in to start, and the endpoint's entry in the fleet document. */
interface EndpointPlan {
  readonly id: string;
  readonly kind: 'engine' | 'service';
  readonly domain: string;
  readonly region: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly fencing?: 'checked' | 'ignored';
  /** Options of the stand-in program, merged into its JSON argument. */
  readonly options?: Readonly<Record<string, unknown>>;
}

export default EndpointPlan;
