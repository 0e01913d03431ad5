/** The metrics that the daemon emits; names are listed in docs/OPERATORS.md. */
abstract class Metrics {
  abstract increment(name: string, tags?: Readonly<Record<string, string>>): void;

  abstract timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;

  abstract gauge(name: string, value: number): void;

  abstract close(): void;
}

export default Metrics;
