/**
 * Reads the whole body of a request. Fails with `BODY_TOO_LARGE` or `BODY_TOO_SLOW` when a limit is exceeded, and
 * with `MALFORMED_BODY` when the connection closes early.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';

interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

export default function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => {
      finish(
        err(
          createFailure(
            'BODY_TOO_SLOW',
            `the body was still incomplete after ${limits.bodyTimeoutMs} ms`,
          ),
        ),
      );
    }, limits.bodyTimeoutMs);
    function finish(result: Result<Buffer, Failure>): void {
      clearTimeout(timer);
      request.removeListener('data', receive);
      if (result.isErr) {
        request.pause();
      }
      resolve(result);
    }
    function receive(chunk: Buffer): void {
      bytes += chunk.length;
      if (bytes > limits.maxBodyBytes) {
        finish(
          err(
            createFailure('BODY_TOO_LARGE', `more than ${limits.maxBodyBytes} bytes were received`),
          ),
        );
        return;
      }
      chunks.push(chunk);
    }
    request.on('data', receive);
    request.once('end', () => finish(ok(Buffer.concat(chunks))));
    request.once('error', () =>
      finish(
        err(createFailure('MALFORMED_BODY', 'the connection closed before the whole body arrived')),
      ),
    );
    request.once('close', () =>
      finish(
        err(createFailure('MALFORMED_BODY', 'the connection closed before the whole body arrived')),
      ),
    );
  });
}
