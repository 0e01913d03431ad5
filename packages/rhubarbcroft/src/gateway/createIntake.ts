/** Creates the account of what a forwarding node holds for callers, with limits from the memory of its machine. */
import type Logger from 'bunyan';
import IntakeAccount from '../callers/IntakeAccount.js';
import createIntakeLimits from '../decisions/intake/createIntakeLimits.js';
import deriveMaxHeldBytes from '../decisions/intake/deriveMaxHeldBytes.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type GatewaySettings from './GatewaySettings.js';

const SMALLEST_MEMORY_MB = 210;

export default function createIntake(
  { memoryMb = SMALLEST_MEMORY_MB }: GatewaySettings,
  clock: Clock,
  log: Logger,
  metrics: Metrics,
): IntakeAccount {
  const limits = createIntakeLimits(deriveMaxHeldBytes(memoryMb));
  return new IntakeAccount({ limits, clock, log, metrics });
}
