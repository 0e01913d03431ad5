/** A running daemon of a local fleet and the addresses on which it listens. */
import type NodePlan from './NodePlan.js';
import type Program from './Program.js';

interface LocalNode {
  readonly plan: NodePlan;
  readonly program: Program;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerAddress: string;
  readonly settingsPath: string;
}

export default LocalNode;
