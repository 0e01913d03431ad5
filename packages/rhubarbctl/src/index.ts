/** Public entry point: the client of the administration API. */
export { default } from './client/AdminClient.js';
