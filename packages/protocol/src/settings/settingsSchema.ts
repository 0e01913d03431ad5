/**
 * The schema of the daemon's INI settings: every section and key, with its unit and default.
 *
 * The suffix of a key is its unit (`Ms`, `S`, `Bytes`); keys without a unit are counts, names or
 * addresses.
 */
import { z } from 'zod';

const positiveInt = z.coerce.number().int().positive();
const booleanText = z.enum(['true', 'false']).transform((text) => text === 'true');
const address = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/, 'expected an IPv4 address and a port, such as 127.0.0.1:8080');
const addressList = z.string().transform((text) =>
  text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== ''),
);

const optionalPath = z.string().default('');

interface TlsFiles {
  readonly certificatePath: string;
  readonly keyPath: string;
}

/** TLS needs both files; with neither, the listener serves plain HTTP. */
function hasBothOrNeither({ certificatePath, keyPath }: TlsFiles): boolean {
  return (certificatePath === '') === (keyPath === '');
}

const BOTH_OR_NEITHER = {
  path: ['certificatePath'],
  message: 'expected certificatePath and keyPath together, or neither',
};

const settingsSchema = z.strictObject({
  node: z.strictObject({
    id: z.string().min(1),
    domain: z.string().min(1),
    region: z.string().min(1),
    shutdownGraceMs: positiveInt.default(600_000),
    lameDuckMs: positiveInt.default(2_000),
  }),
  callers: z
    .strictObject({
      address,
      certificatePath: optionalPath,
      keyPath: optionalPath,
      anonymous: booleanText.default(false),
      maxBodyBytes: positiveInt.default(4_194_304),
      maxHeldBytes: positiveInt.default(268_435_456),
      maxHeaderBytes: positiveInt.default(16_384),
      maxConnections: positiveInt.default(12_000),
      bodyTimeoutMs: positiveInt.default(10_000),
      readTimeoutMs: positiveInt.default(30_000),
    })
    .refine(hasBothOrNeither, BOTH_OR_NEITHER),
  operators: z
    .strictObject({
      address,
      certificatePath: optionalPath,
      keyPath: optionalPath,
      token: z.string().min(16, 'expected at least 16 characters'),
    })
    .refine(hasBothOrNeither, BOTH_OR_NEITHER),
  peers: z.strictObject({
    address,
    seeds: addressList.default([]),
    key: z.string().min(16, 'expected at least 16 characters'),
    previousKey: z.string().default(''),
    heartbeatMs: positiveInt.default(1_000),
    maxFrameBytes: positiveInt.default(8_388_608),
  }),
  platform: z.strictObject({
    tableUrl: z.url(),
    timeoutMs: positiveInt.default(1_000),
    pollMs: positiveInt.default(2_000),
    vmListLagMs: positiveInt.default(30_000),
  }),
  endpoints: z
    .strictObject({
      loadReportMs: positiveInt.default(500),
      connectTimeoutMs: positiveInt.default(500),
      progressTimeoutMs: positiveInt.default(1_200),
      crossRegionPenaltyMs: positiveInt.default(400),
    })
    .default({
      loadReportMs: 500,
      connectTimeoutMs: 500,
      progressTimeoutMs: 1_200,
      crossRegionPenaltyMs: 400,
    }),
  admission: z
    .strictObject({
      maxQueuedPerKind: positiveInt.default(2_000),
      defaultDeadlineMs: positiveInt.default(120_000),
      accountBurstS: positiveInt.default(10),
    })
    .default({ maxQueuedPerKind: 2_000, defaultDeadlineMs: 120_000, accountBurstS: 10 }),
  control: z
    .strictObject({
      leaseTtlMs: positiveInt.default(6_000),
      leaseMarginMs: positiveInt.default(2_000),
      claimGroupMs: positiveInt.default(4),
      planMs: positiveInt.default(5_000),
    })
    .default({ leaseTtlMs: 6_000, leaseMarginMs: 2_000, claimGroupMs: 4, planMs: 5_000 }),
  telemetry: z
    .strictObject({
      logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
      statsdAddress: z.union([address, z.literal('')]).default(''),
    })
    .default({ logLevel: 'info', statsdAddress: '' }),
});

export default settingsSchema;
