/** Creates the response body that a replica of the soak sends for a request: events for model paths, else text. */
const EVENTS = 10;

export default function createExpectedBody(path: string, requestId: string): string {
  if (/^\/(audit|verdict)\//.test(path)) {
    return Array.from(
      { length: EVENTS },
      (_unused, index) => `id: ${index + 1}\ndata: ${requestId} ${index + 1}\n\n`,
    ).join('');
  }
  return `answer to ${requestId}`;
}
