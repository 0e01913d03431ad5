/**
 * Declares an HTTP listener as a child of its supervisor, and a watcher of its certificate if the settings name one.
 * Returns the supervisor.
 */
import HttpListener from '../callers/HttpListener.js';
import type Supervisor from '../supervision/Supervisor.js';
import CertificateWatcher from '../tls/CertificateWatcher.js';
import type CertificatePaths from '../tls/CertificatePaths.js';
import type NodeParts from './NodeParts.js';

type ListenerOptions = Omit<
  ConstructorParameters<typeof HttpListener>[0],
  'certificates' | 'clock' | 'intake' | 'log' | 'metrics' | 'maxHeaderBytes'
>;

export default function declareHttpListener(
  parts: NodeParts,
  paths: CertificatePaths,
  options: ListenerOptions,
): Supervisor {
  const { clock, log, metrics, intake, settings } = parts;
  const certificates =
    paths.certificatePath === '' ? undefined : new CertificateWatcher(paths, clock, log);
  const { maxHeaderBytes } = settings.callers;
  options.supervisor.declareChildren(
    new HttpListener({ ...options, certificates, clock, log, metrics, intake, maxHeaderBytes }),
  );
  return certificates === undefined
    ? options.supervisor
    : options.supervisor.declareChildren(certificates);
}
