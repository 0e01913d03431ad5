/** Encodes a tally for peers. */
import type Tally from './Tally.js';
import type WireTally from './WireTally.js';

export default function encodeTally({ windows, demand, ...rest }: Tally): WireTally {
  return {
    ...rest,
    windows: windows.map(({ window, countsByAccount }) => [
      window,
      ...Object.entries(countsByAccount).flat(),
    ]),
    demand: demand.map(
      ({ service, requests, prefillTokens, memoryTokens, outputTokens, refused }) =>
        [service, requests, prefillTokens, memoryTokens, outputTokens, refused] as const,
    ),
  };
}
