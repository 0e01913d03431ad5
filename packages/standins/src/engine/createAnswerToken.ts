/**
 * Creates the token at an index of the answer to a prompt. Every engine stand-in generates the same answer
 * to a prompt, so that tests can check answers byte for byte.
 */
import { createHash } from 'node:crypto';

const hashByPrompt = new Map<string, Buffer>();
const MAX_CACHED_PROMPTS = 4_096;

function hashPrompt(prompt: string): Buffer {
  const cached = hashByPrompt.get(prompt);
  if (cached !== undefined) {
    return cached;
  }
  if (hashByPrompt.size >= MAX_CACHED_PROMPTS) {
    hashByPrompt.clear();
  }
  const hash = createHash('sha256').update(prompt).digest();
  hashByPrompt.set(prompt, hash);
  return hash;
}

export default function createAnswerToken(prompt: string, index: number): string {
  const hash = hashPrompt(prompt);
  return ` ${hash.readUInt16BE((index * 2) % (hash.length - 1)).toString(16)}.${index}`;
}
