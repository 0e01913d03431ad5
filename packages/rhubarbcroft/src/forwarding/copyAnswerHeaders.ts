/**
 * Copies an endpoint's headers for the caller, as alternating names and values, without the hop-by-hop headers
 * and the content length.
 */
const OMITTED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
]);

export default function copyAnswerHeaders(rawHeaders: readonly string[]): string[] {
  const copied: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (!OMITTED_HEADERS.has(rawHeaders[at].toLowerCase())) {
      copied.push(rawHeaders[at], rawHeaders[at + 1]);
    }
  }
  return copied;
}
