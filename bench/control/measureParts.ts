/**
 * Measures parts of the daemon in isolation, at sizes for which a real fleet would not fit on one machine:
 * heap in bytes, time for each operation, and frame size in bytes.
 */
import { randomUUID } from 'node:crypto';
import Fleet from 'rhubarbcroft/configuration/Fleet';
import PoisonTracker from 'rhubarbcroft/decisions/poison/PoisonTracker';
import AccountLimits from 'rhubarbcroft/decisions/limits/AccountLimits';
import PrefixIndex from 'rhubarbcroft/decisions/routing/PrefixIndex';
import createPeerCodec from 'rhubarbcroft/peers/createPeerCodec';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import type PartCost from './PartCost.js';
import createEndpoint from './createEndpoint.js';
import measureHeap from './measureHeap.js';
import measureRouting from './measureRouting.js';
import measureStepUs from './measureStepUs.js';

const SHORT_ID = '0a1b2c3d';
const US_PER_MS = 1_000;

function createAccount(index: number): Readonly<Record<string, unknown>> {
  return {
    name: `account-${index}`,
    team: `team-${index % 100}`,
    tokenHashes: [index.toString(16).padStart(64, '0')],
  };
}

function measureFleet(endpoints: number, accounts: number): PartCost {
  const { value, heapBytes } = measureHeap(() => {
    const document = parseFleetDocument({
      endpoints: Array.from({ length: endpoints }, (_unused, index) => createEndpoint(index)),
      accounts: Array.from({ length: accounts }, (_unused, index) => createAccount(index)),
    });
    return new Fleet({ version: 1, document: document.unwrapOr(undefined as never) });
  });
  const part = accounts > 0 ? 'fleet document, accounts' : 'fleet document, endpoints';
  const frameBytes = JSON.stringify(value.document).length;
  return { part, size: Math.max(endpoints, accounts), heapBytes, frameBytes };
}

function measureParse(accounts: number): PartCost {
  const input = {
    accounts: Array.from({ length: accounts }, (_unused, index) => createAccount(index)),
  };
  const startedAtMs = performance.now();
  parseFleetDocument(input);
  return {
    part: 'check of a fleet document',
    size: accounts,
    usPerStep: (performance.now() - startedAtMs) * US_PER_MS,
  };
}

function measureFrame(part: string, size: number, message: PeerMessage): PartCost {
  const sender = createPeerCodec(1_048_576);
  const receiver = createPeerCodec(1_048_576);
  const usPerStep = measureStepUs(() => {
    receiver.decode(sender.encode(message));
  });
  return { part, size, usPerStep, frameBytes: sender.encode(message).length };
}

function measureAccounts(accounts: number): PartCost {
  const { value, heapBytes } = measureHeap(() => {
    const limits = new AccountLimits({ burstS: 10, maxAccounts: 32_768 });
    for (let index = 0; index < accounts; index += 1) {
      limits.spend(`account-${index}`, 100, 1_000, index);
    }
    return limits;
  });
  const usPerStep = measureStepUs((round) => {
    value.spend(`account-${round % accounts}`, 1, 1_000, round);
  });
  return { part: 'account limits', size: accounts, heapBytes, usPerStep };
}

function measurePoison(fingerprints: number): PartCost {
  const { heapBytes } = measureHeap(() => {
    const tracker = new PoisonTracker(new SystemClock());
    for (let index = 0; index < fingerprints; index += 1) {
      tracker.add({
        fingerprint: randomUUID(),
        endpointId: 'engine-1',
        bootId: randomUUID(),
        alone: true,
        atMs: index,
      });
    }
    return tracker;
  });
  return { part: 'poison records', size: fingerprints, heapBytes };
}

function measurePrefixes(prefixes: number): PartCost {
  const { heapBytes } = measureHeap(() => {
    const index = new PrefixIndex();
    for (let count = 0; count < prefixes; count += 1) {
      index.record([randomUUID()], `engine-${count % 71}`);
    }
    return index;
  });
  return { part: 'prefix index', size: prefixes, heapBytes };
}

export default function measureParts(): readonly PartCost[] {
  const loadReport = {
    bootId: SHORT_ID,
    role: 'mixed',
    changing: false,
    leaving: false,
    ageMs: 200,
    slots: 32,
    prefillTokensPerS: 8_723,
    running: 20,
    queuedPromptTokens: [100, 200, 3_000],
    pendingOutputTokens: 4_000,
  } as const;
  const createSends = (
    count: number,
  ): readonly {
    readonly endpointId: string;
    readonly rank: number;
    readonly promptTokens: number;
    readonly ageMs: number;
  }[] =>
    Array.from({ length: count }, (_unused, index) => ({
      endpointId: `engine-${index}`,
      rank: 1,
      promptTokens: 1_000,
      ageMs: 20,
    }));
  return [
    ...[10, 71, 100, 1_000].map((count) => measureFleet(count, 0)),
    ...[100, 1_000, 21_000].map((count) => measureFleet(0, count)),
    ...[100, 1_000, 21_000].map(measureParse),
    ...[10, 71, 100, 1_000].map((replicas) => measureRouting(replicas)),
    ...[100, 1_000, 21_000].map(measureAccounts),
    ...[100, 1_000, 8_000].map(measurePoison),
    ...[100, 1_000, 8_000].map(measurePrefixes),
    ...[1, 4, 16].map((count) =>
      measureFrame('sends frame', count, { type: 'sends', sends: createSends(count) }),
    ),
    measureFrame('loads frame', 1, {
      type: 'loads',
      reports: [{ endpointId: 'engine-1', ...loadReport }],
    }),
    ...[1, 5].map((models) =>
      measureFrame('heartbeat frame', models, {
        type: 'heartbeat',
        nodeId: 'vm-10',
        incarnation: SHORT_ID,
        domain: 'domain-1',
        configurationVersion: 1_700,
        leaving: false,
        demand: Array.from({ length: models }, (_unused, index) => ({
          model: `model-${index}`,
          promptTokensPerS: 1_234,
          outputTokensPerS: 987,
        })),
      }),
    ),
  ];
}
