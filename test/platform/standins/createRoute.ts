/** A route of a test's configuration, in the operator's format. */
export default function createRoute(
  prefix: string,
  service: string,
  options: Readonly<Record<string, unknown>> = {},
): unknown {
  return {
    name: prefix,
    host: 'shop.example',
    prefix,
    kind: 'idempotent',
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 2,
    sticky: false,
    service,
    ...options,
  };
}
