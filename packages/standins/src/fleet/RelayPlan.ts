/** Which connections of a local fleet pass through relays, on which a test can inject network faults. */
interface RelayPlan {
  /** Ids of the endpoints that nodes reach through a relay; the relay is named `endpoint ID`. */
  readonly endpoints?: readonly string[];
  /** Whether each node reaches every other node through a relay, named `peer FROM TO`. */
  readonly peers?: boolean;
  /** Whether each node reaches the platform through a relay, named `platform NODE`. */
  readonly platform?: boolean;
}

export default RelayPlan;
