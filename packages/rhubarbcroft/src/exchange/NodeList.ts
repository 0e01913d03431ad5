/** The platform's list of the addresses at which nodes can be asked. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';

abstract class NodeList {
  /** Adds this node's address. */
  abstract announce(address: string): Promise<Result<void, Failure>>;

  abstract read(): Promise<Result<readonly string[], Failure>>;
}

export default NodeList;
