/** Runs the platform stand-in: `main.js '{"port":0}'`. Port 0 takes a free port. */
import startServer from '../http/startServer.js';
import PlatformServer from './PlatformServer.js';

const args = JSON.parse(process.argv[2] ?? '{}') as { readonly port?: number };
const server = new PlatformServer();

startServer(args.port ?? 0, (request, response) => {
  void server.handle(request, response);
});
