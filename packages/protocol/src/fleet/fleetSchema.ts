/**
 * The schema of a fleet document, which operators declare and every entry VM applies.
 *
 * Rates are in tokens per second, floors are fractions of a group's token capacity, and token hashes
 * are SHA-256 in hexadecimal. Unknown keys are rejected.
 */
import { z } from 'zod';

const identifier = z
  .string()
  .regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');
const labels = z.record(z.string(), z.string());
const rank = z.enum(['urgent', 'standard', 'patient']);

const endpoint = z.strictObject({
  id: identifier,
  kind: z.enum(['engine', 'service']),
  url: z.url(),
  domain: identifier,
  region: identifier,
  labels: labels.default({}),
  fencing: z.enum(['checked', 'ignored']).default('ignored'),
  slots: z.int().positive().default(32),
  prefillTokensPerS: z.number().positive().default(10_000),
  decodeTokensPerS: z.number().positive().default(1_600),
});

const service = z.strictObject({
  name: identifier,
  where: z.string(),
  idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS']),
});

const model = z.strictObject({
  name: identifier,
  where: z.string(),
  plannedRoles: z.boolean().default(false),
});

const rule = z.strictObject({
  name: identifier,
  match: z.string(),
  where: z.string().default(''),
  rank: rank.optional(),
  region: identifier.optional(),
  deadlineMs: z.int().positive().optional(),
});

const kind = z.strictObject({
  name: identifier,
  weight: z.number().positive().default(1),
  floor: z.number().min(0).max(1).default(0),
  worth: z.number().positive().default(1),
});

const account = z.strictObject({
  name: identifier,
  team: identifier,
  tokenHashes: z
    .array(
      z
        .string()
        .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 hash as 64 lower-case hexadecimal digits'),
    )
    .max(4),
  scopes: z.array(z.string()).default(['call']),
  tokensPerS: z.number().positive().default(100_000),
});

const change = z.strictObject({
  name: identifier,
  action: z.enum(['drain', 'role', 'model']),
  endpoint: identifier,
  role: z.enum(['prefill', 'decode', 'mixed']).optional(),
  model: identifier.optional(),
  modelVersion: z.string().optional(),
});

const fleetSchema = z.strictObject({
  endpoints: z.array(endpoint).default([]),
  models: z.array(model).default([]),
  services: z.array(service).default([]),
  rules: z.array(rule).default([]),
  kinds: z.array(kind).default([]),
  accounts: z.array(account).default([]),
  changes: z.array(change).default([]),
});

export default fleetSchema;
