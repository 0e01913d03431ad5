/** Creates the complete answer that every engine stand-in gives to a prompt. */
import createAnswerToken from '../engine/createAnswerToken.js';

export default function createExpectedAnswer(prompt: string, tokenCount: number): string {
  return Array.from({ length: tokenCount }, (_unused, index) =>
    createAnswerToken(prompt, index),
  ).join('');
}
