/** The routes of the operators' listener: the administration API, version 1. */
import type HttpFrontEnd from '../callers/HttpFrontEnd.js';
import AuditHandler from '../operators/AuditHandler.js';
import ChangesHandler from '../operators/ChangesHandler.js';
import DrainHandler from '../operators/DrainHandler.js';
import FleetReadHandler from '../operators/FleetReadHandler.js';
import FleetWriteHandler from '../operators/FleetWriteHandler.js';
import type OperatorContext from '../operators/OperatorContext.js';
import StateHandler from '../operators/StateHandler.js';
import VersionsHandler from '../operators/VersionsHandler.js';

type Routes = ConstructorParameters<typeof HttpFrontEnd>[0];

export default function createOperatorRoutes(context: OperatorContext): Routes {
  return [
    { methods: ['GET'], path: '/v1/fleet', handler: new FleetReadHandler(context, 'read') },
    { methods: ['PUT'], path: '/v1/fleet', handler: new FleetWriteHandler(context, 'administer') },
    { methods: ['GET'], path: '/v1/versions', handler: new VersionsHandler(context, 'read') },
    { methods: ['GET'], path: '/v1/changes', handler: new ChangesHandler(context, 'read') },
    { methods: ['GET'], path: '/v1/state', handler: new StateHandler(context, 'read') },
    { methods: ['GET'], path: '/v1/audit', handler: new AuditHandler(context, 'read') },
    { methods: ['POST'], path: '/v1/drains', handler: new DrainHandler(context, 'operate') },
  ];
}
