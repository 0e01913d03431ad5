/** Start-up settings of the duties. Times in milliseconds. */
interface DutySettings {
  /** Base URL of the platform's interface for these calls. */
  readonly url: string;
  /** Calls that the platform accepts per second from all nodes together. */
  readonly callsPerS: number;
  readonly reportsUsage: boolean;
  readonly ordersReplicas: boolean;
  /** Time within which two holders must not act in turns. */
  readonly leaseMs: number;
  /** Length of a usage window. */
  readonly usageWindowMs: number;
  /** Time after the end of a window within which its usage is due. */
  readonly usageLateMs: number;
}

export default DutySettings;
