/** Public entry point: the types and formats shared by the daemon, rhubarbctl and other front ends. */
export type { default as FleetDocument } from './fleet/FleetDocument.js';
