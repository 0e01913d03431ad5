/** A prompt that this node has sent to an engine and whose first token has not come yet. */
interface SentPrompt {
  readonly newTokens: number;
  readonly rank: number;
  readonly sentAtMs: number;
}

export default SentPrompt;
