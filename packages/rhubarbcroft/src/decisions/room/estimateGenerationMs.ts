/** Estimates how long a generation takes on an engine under moderate load. */
const TOKEN_MS = 10;

export default function estimateGenerationMs(outputTokens: number): number {
  return outputTokens * TOKEN_MS;
}
