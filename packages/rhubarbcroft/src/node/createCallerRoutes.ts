/** The routes of the callers' listener. */
import type CallerContext from '../callers/CallerContext.js';
import CompletionHandler from '../callers/CompletionHandler.js';
import HealthHandler from '../callers/HealthHandler.js';
import type HttpFrontEnd from '../callers/HttpFrontEnd.js';
import ModelListHandler from '../callers/ModelListHandler.js';
import ServiceHandler from '../callers/ServiceHandler.js';

type Routes = ConstructorParameters<typeof HttpFrontEnd>[0];

export default function createCallerRoutes(context: CallerContext, shutdown: AbortSignal): Routes {
  return [
    { methods: ['GET'], path: '/healthz', handler: new HealthHandler(shutdown) },
    { methods: ['GET'], path: '/v1/models', handler: new ModelListHandler(context) },
    { methods: ['POST'], path: '/v1/completions', handler: new CompletionHandler(context, false) },
    {
      methods: ['POST'],
      path: '/v1/chat/completions',
      handler: new CompletionHandler(context, true),
    },
    {
      methods: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'],
      path: '/services/:service/*',
      handler: new ServiceHandler(context),
    },
  ];
}
