/** Runs an engine stand-in: `main.js '{"port":0,"name":"engine-1"}'`. Port 0 takes a free port. */
import startServer from '../http/startServer.js';
import EngineServer from './EngineServer.js';

const args = JSON.parse(process.argv[2] ?? '{}') as Partial<
  ConstructorParameters<typeof EngineServer>[0]
> & {
  readonly port?: number;
};
const server = new EngineServer({
  name: 'engine',
  fencing: 'ignored',
  loadLagMs: 200,
  model: {},
  speedup: 1,
  ...args,
});

startServer(args.port ?? 0, (request, response) => {
  void server.handle(request, response);
});
