/**
 * Parses the body of `/v1/completions` and `/v1/chat/completions`. Fails with `MALFORMED_BODY`, whose detail
 * names the field that is not valid.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import { z } from 'zod';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type CompletionBody from './CompletionBody.js';

const MAX_OUTPUT_TOKENS = 32_768;
const DEFAULT_OUTPUT_TOKENS = 256;

const common = z.object({
  model: z.string(),
  max_tokens: z.int().positive().max(MAX_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  max_completion_tokens: z.int().positive().max(MAX_OUTPUT_TOKENS).optional(),
  stream: z.boolean().default(false),
});
const textPart = z.object({ type: z.literal('text'), text: z.string() });
const message = z.object({ role: z.string(), content: z.union([z.string(), z.array(textPart)]) });
const chatSchema = common.extend({ messages: z.array(message).min(1) });
const textSchema = common.extend({ prompt: z.string() });

/** Joins the messages of a chat to one prompt, each with its role in front. */
function joinMessages(messages: readonly z.infer<typeof message>[]): string {
  return messages
    .map(({ role, content }) => {
      const text =
        typeof content === 'string' ? content : content.map((part) => part.text).join('');
      return `<${role}>${text}`;
    })
    .join('\n');
}

export default function parseCompletionBody(
  bytes: Buffer,
  chat: boolean,
): Result<CompletionBody, Failure> {
  let input: unknown;
  try {
    input = JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    return err(createFailure('MALFORMED_BODY', (error as Error).message));
  }
  const checked = chat ? chatSchema.safeParse(input) : textSchema.safeParse(input);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    return err(
      createFailure('MALFORMED_BODY', `${issue.path.join('.') || 'body'}: ${issue.message}`),
    );
  }
  const { data } = checked;
  return ok({
    model: data.model,
    prompt: 'messages' in data ? joinMessages(data.messages) : data.prompt,
    maxTokens: data.max_completion_tokens ?? data.max_tokens,
    stream: data.stream,
  });
}
