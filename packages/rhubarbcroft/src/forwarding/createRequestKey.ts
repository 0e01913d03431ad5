/**
 * Creates the key by which a request is recognised when it comes again, at any node: a hash of its method, host, path,
 * credentials and body. What differs between attempts, such as the id and the deadline, is left out.
 */
import { createHash } from 'node:crypto';
import type ForwardRequest from './ForwardRequest.js';

const IDENTIFYING_HEADERS = ['host', 'authorization'];
/** Enough to tell requests apart; the keys travel in crash reports. */
const HASH_LENGTH = 22;

export default function createRequestKey({
  method,
  path,
  rawHeaders,
  body,
}: Pick<ForwardRequest, 'method' | 'path' | 'rawHeaders' | 'body'>): string {
  const values = IDENTIFYING_HEADERS.map((name) =>
    rawHeaders.filter((_value, index) => rawHeaders[index - 1]?.toLowerCase() === name),
  );
  const hash = createHash('sha256').update(JSON.stringify([method, path, values]));
  return `request:${hash
    .update(body ?? '')
    .digest('base64url')
    .slice(0, HASH_LENGTH)}`;
}
