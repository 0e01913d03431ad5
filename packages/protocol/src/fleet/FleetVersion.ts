/** A fleet document and its version number, which each accepted change increments by one. */
import type FleetDocument from './FleetDocument.js';

interface FleetVersion {
  readonly version: number;
  readonly document: FleetDocument;
}

export default FleetVersion;
