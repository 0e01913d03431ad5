/** The platform's feeds and services that a forwarding node uses, and the protocol of callers and endpoints. */
import type ChangeFeed from '../discovery/ChangeFeed.js';
import type NodeList from '../gossip/NodeList.js';
import type DutySources from '../duties/DutySources.js';
import type EndpointProtocol from '../forwarding/EndpointProtocol.js';
import type Instance from '../instances/Instance.js';
import type RoutingDocument from '../routes/RoutingDocument.js';
import type StageRights from '../stages/StageRights.js';

interface GatewaySources {
  readonly routing: ChangeFeed<RoutingDocument>;
  readonly instances: ChangeFeed<Instance>;
  readonly nodes: NodeList;
  readonly rights: StageRights;
  readonly protocol: EndpointProtocol;
  /** Undefined when the platform has no duties for this fleet. */
  readonly duties?: DutySources | undefined;
}

export default GatewaySources;
