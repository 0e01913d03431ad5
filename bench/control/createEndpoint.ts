/** Creates the declaration of an endpoint for a large fleet document. */
export default function createEndpoint(index: number): Readonly<Record<string, unknown>> {
  return {
    id: `engine-${index}`,
    kind: 'engine',
    url: `http://10.0.${index % 250}.1:8000`,
    domain: `domain-${index % 14}`,
    region: `region-${index % 5}`,
    labels: { model: `model-${index % 5}`, tier: 'a' },
  };
}
