/** Runs a plain service stand-in: `main.js '{"port":0,"name":"ledger-1"}'`. Port 0 takes a free port. */
import startServer from '../http/startServer.js';
import ServiceServer from './ServiceServer.js';

const args = JSON.parse(process.argv[2] ?? '{}') as Partial<
  ConstructorParameters<typeof ServiceServer>[0]
> & {
  readonly port?: number;
};
const server = new ServiceServer({ name: 'service', delayMs: 5, ...args });

startServer(args.port ?? 0, (request, response) => {
  void server.handle(request, response);
});
