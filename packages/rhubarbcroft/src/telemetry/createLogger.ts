/** Creates the logger of a process: JSON lines on standard output, each with the node and the failure domain. */
import bunyan from 'bunyan';
import type Logger from 'bunyan';

interface LoggerOptions {
  readonly name: string;
  readonly level: Logger.LogLevel;
  readonly node: string;
  readonly domain: string;
}

export default function createLogger(options: LoggerOptions): Logger {
  return bunyan.createLogger({ ...options, serializers: bunyan.stdSerializers });
}
