/** A fleet document that passed its schema check; deeply read-only. */
import type { z } from 'zod';
import type fleetSchema from './fleetSchema.js';

type DeepReadonly<T> = T extends (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object
    ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
    : T;

type FleetDocument = DeepReadonly<z.infer<typeof fleetSchema>>;

export default FleetDocument;
