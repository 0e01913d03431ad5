/** The platform's list of the forwarding nodes and the addresses at which they accept peers. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type ListedNode from './ListedNode.js';

abstract class NodeList {
  /** Adds a node to the list. */
  abstract announce(node: ListedNode): Promise<Result<void, Failure>>;

  /** Reads all nodes of the list. */
  abstract read(): Promise<Result<readonly ListedNode[], Failure>>;
}

export default NodeList;
