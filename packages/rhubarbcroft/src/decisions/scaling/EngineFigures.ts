/** What one engine of a service can do. */
interface EngineFigures {
  readonly prefillMsPerToken: number;
  readonly slots: number;
  readonly kvCapacityTokens: number;
}

export default EngineFigures;
