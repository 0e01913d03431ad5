/** Receives the tallies of the peers. */
import type Tally from './Tally.js';
import type TallyReply from './TallyReply.js';

abstract class TallyReceiver {
  abstract receive(tally: Tally): TallyReply;
}

export default TallyReceiver;
