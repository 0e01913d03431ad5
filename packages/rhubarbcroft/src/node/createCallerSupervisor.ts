/** Creates the supervisor of the callers' listener and its connections, and the context of the request handlers. */
import AttributeResolver from '../callers/AttributeResolver.js';
import BearerAuthenticator from '../callers/BearerAuthenticator.js';
import type CallerContext from '../callers/CallerContext.js';
import Fingerprinter from '../callers/Fingerprinter.js';
import HttpFrontEnd from '../callers/HttpFrontEnd.js';
import ClaimRegistry from '../claims/ClaimRegistry.js';
import type ClaimWriter from '../claims/ClaimWriter.js';
import AccountLimits from '../decisions/limits/AccountLimits.js';
import RetryBudget from '../decisions/retries/RetryBudget.js';
import FailureClassifier from '../dispatch/FailureClassifier.js';
import GateFactory from '../dispatch/GateFactory.js';
import type GateRegistry from '../dispatch/GateRegistry.js';
import ModelDispatcher from '../dispatch/ModelDispatcher.js';
import ServiceDispatcher from '../dispatch/ServiceDispatcher.js';
import SuspectIsolation from '../dispatch/SuspectIsolation.js';
import declareHttpListener from './declareHttpListener.js';
import Supervisor from '../supervision/Supervisor.js';
import type NodeParts from './NodeParts.js';
import type PeerSubsystem from './PeerSubsystem.js';
import createCallerRoutes from './createCallerRoutes.js';

const MAX_ACCOUNTS = 32_768;

function createModelDispatcher(
  parts: NodeParts,
  peers: PeerSubsystem,
  retries: RetryBudget,
): ModelDispatcher {
  const { registry, poison, clock, metrics, directory } = parts;
  return new ModelDispatcher({
    registry,
    poison,
    retries,
    clock,
    metrics,
    failureClassifier: new FailureClassifier({
      registry,
      poison,
      clock,
      publish: (evidence) => peers.publishCrashes(evidence),
    }),
    suspectIsolation: new SuspectIsolation(directory),
    onCleared: (fingerprint) => peers.publishCrashCleared(fingerprint),
  });
}

function createServiceDispatcher(
  parts: NodeParts,
  writer: ClaimWriter,
  retries: RetryBudget,
): ServiceDispatcher {
  const { registry, clock, table, objects, directory } = parts;
  const holder = `${directory.own.nodeId}/${directory.own.incarnation}`;
  const claims = new ClaimRegistry({ table, objects, writer, clock, holder });
  return new ServiceDispatcher({ registry, retries, clock, claims });
}

function createContext(
  parts: NodeParts,
  peers: PeerSubsystem,
  gates: GateRegistry,
  writer: ClaimWriter,
): CallerContext {
  const { settings, clock, currentFleet, registry } = parts;
  const { admission, callers, node } = settings;
  const retries = new RetryBudget();
  return {
    settings,
    currentFleet,
    clock,
    gates,
    authenticator: new BearerAuthenticator(currentFleet, callers.anonymous),
    attributeResolver: new AttributeResolver({
      currentFleet,
      clock,
      defaultDeadlineMs: admission.defaultDeadlineMs,
      ownRegion: node.region,
    }),
    fingerprinter: new Fingerprinter(settings.peers.key),
    limits: new AccountLimits({ burstS: admission.accountBurstS, maxAccounts: MAX_ACCOUNTS }),
    gateFactory: new GateFactory({
      settings,
      currentFleet,
      registry,
      clock,
      seed: process.pid,
      demand: parts.demand,
      notifyWaiting: () => gates.notifyWaiting(),
      publishDispatch: (notice) => peers.publishDispatch(notice),
    }),
    models: createModelDispatcher(parts, peers, retries),
    services: createServiceDispatcher(parts, writer, retries),
  };
}

export default function createCallerSupervisor(
  parts: NodeParts,
  peers: PeerSubsystem,
  gates: GateRegistry,
  writer: ClaimWriter,
): Supervisor {
  const { settings, clock, log, metrics, shutdown } = parts;
  const supervisor = new Supervisor('callers', clock, log);
  const context = createContext(parts, peers, gates, writer);
  const frontEnd = new HttpFrontEnd(createCallerRoutes(context, shutdown), log, metrics);
  return declareHttpListener(parts, settings.callers, {
    name: 'caller-listener',
    address: settings.callers.address,
    maxConnections: settings.callers.maxConnections,
    lameDuckMs: settings.node.lameDuckMs,
    frontEnd,
    supervisor,
  });
}
