/** The body that a replica of the soak makes for a request. */
const EVENTS = 10;

export default function createExpectedBody(path: string, requestId: string): string {
  if (/^\/(audit|verdict)\//.test(path)) {
    return Array.from(
      { length: EVENTS },
      (_unused, at) => `id: ${at + 1}\ndata: ${requestId} ${at + 1}\n\n`,
    ).join('');
  }
  return `answer to ${requestId}`;
}
