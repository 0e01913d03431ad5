/** The platform's list of the addresses at which nodes can be asked. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type KnownNode from './KnownNode.js';

abstract class NodeList {
  /** Adds this node. */
  abstract announce(node: KnownNode): Promise<Result<void, Failure>>;

  abstract read(): Promise<Result<readonly KnownNode[], Failure>>;
}

export default NodeList;
