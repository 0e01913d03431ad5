/** Creates a process's logger: JSON lines on standard output, with the node and domain on each. */
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
