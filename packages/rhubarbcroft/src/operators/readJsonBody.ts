/** Reads and validates the JSON body of an operator's request. `MALFORMED_BODY` names the invalid field. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type { z } from 'zod';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type IncomingBody from '../callers/IncomingBody.js';

const BODY_LIMITS = { maxBodyBytes: 16_777_216, bodyTimeoutMs: 10_000 };

export default async function readJsonBody<Schema extends z.ZodType>(
  incoming: IncomingBody,
  schema: Schema,
): Promise<Result<z.infer<Schema>, Failure>> {
  const body = await incoming.read(BODY_LIMITS);
  if (body.isErr) {
    return err(body.error);
  }
  let input: unknown;
  try {
    input = JSON.parse(body.value.toString('utf8'));
  } catch (error) {
    return err(createFailure('MALFORMED_BODY', (error as Error).message));
  }
  const parsed = schema.safeParse(input);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  return err(
    createFailure('MALFORMED_BODY', `${issue.path.join('.') || 'body'}: ${issue.message}`),
  );
}
