/** Whether a suspect of a crash is the key of a whole request and not a prompt part. Ids of parts are hexadecimal. */
const REQUEST_KEY = /^request:/;

export default function isRequestKey(suspect: string): boolean {
  return REQUEST_KEY.test(suspect);
}
