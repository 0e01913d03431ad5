/**
 * Watches the files of a listener's certificate, so that a renewed certificate is used for new connections
 * without a restart. Files that cannot be used, such as a new certificate whose key has not been written yet,
 * are logged once for each reason, and the current certificate stays in use.
 */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type Certificate from './Certificate.js';
import type CertificatePaths from './CertificatePaths.js';
import readCertificate from './readCertificate.js';

type RenewalCallback = (certificate: Certificate) => void;

const CHECK_PERIOD_MS = 5_000;
const LOAD_RETRY_MS = 200;

export default class CertificateWatcher extends PeriodicTask {
  override readonly name = 'certificate-watch';

  readonly #paths: CertificatePaths;

  readonly #log: Logger;

  #current: Certificate | undefined;

  #lastRefusal = '';

  #onRenewal: RenewalCallback = () => undefined;

  constructor(paths: CertificatePaths, clock: Clock, log: Logger) {
    super(clock, CHECK_PERIOD_MS);
    this.#paths = paths;
    this.#log = log;
  }

  /**
   * Loads the first certificate; returns undefined if the signal aborts before. Waits while the files are being
   * renewed, since a listener that failed on them would exhaust the restart budget of its supervisor.
   */
  async load(signal: AbortSignal): Promise<Certificate | undefined> {
    while (this.#current === undefined && !signal.aborted) {
      const read = await readCertificate(this.#paths);
      if (read.isOk) {
        this.#current = read.value;
      } else {
        this.#logRefusalOnce(describeFailure(read.error));
        await this.clock.sleep(LOAD_RETRY_MS, signal);
      }
    }
    return this.#current;
  }

  /** Sets the callback that receives each renewed certificate; it replaces the previous one. */
  onChange(callback: RenewalCallback): void {
    this.#onRenewal = callback;
  }

  protected override async runOnce(): Promise<void> {
    const read = await readCertificate(this.#paths);
    if (read.isErr) {
      this.#logRefusalOnce(describeFailure(read.error));
      return;
    }
    this.#lastRefusal = '';
    const current = this.#current;
    if (current !== undefined && current.cert !== read.value.cert) {
      this.#current = read.value;
      this.#onRenewal(read.value);
      this.#log.info(
        { path: this.#paths.certificatePath },
        'renewed certificate loaded; new connections use it',
      );
    }
  }

  #logRefusalOnce(refusal: string): void {
    if (refusal !== this.#lastRefusal) {
      this.#log.error(
        { refusal },
        'certificate files cannot be used; keeping the current certificate, if any, and retrying',
      );
    }
    this.#lastRefusal = refusal;
  }
}
