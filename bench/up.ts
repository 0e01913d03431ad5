/** Starts a small local fleet for manual use and prints example commands. */
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';

const fleet = await LocalFleet.start(createSmallFleet());
const [first, second] = fleet.nodes;
process.stdout.write(`The fleet is running. Example commands:

  curl -N ${first.callerUrl}/v1/completions -d '{"model":"appraiser","prompt":"one crate","max_tokens":16,"stream":true}'
  curl ${second.callerUrl}/v1/models
  curl -X POST -H 'Idempotency-Key: k1' ${second.callerUrl}/services/ledger/write-downs -d '{"crates":1}'
  export RHUBARBCTL_URL=${first.operatorUrl} RHUBARBCTL_TOKEN=${LocalFleet.operatorToken}
  npx rhubarbctl state
  npx rhubarbctl drain engine-1

Press Ctrl-C to stop the fleet.
`);
/** How often to check whether the parent process, npm or a shell, still runs; if not, the fleet is stopped. */
const PARENT_CHECK_MS = 500;
const parentPid = process.ppid;
let stopping = false;

function stopFleet(): void {
  if (!stopping) {
    stopping = true;
    void fleet.stop().then(() => process.exit(0));
  }
}

(['SIGINT', 'SIGTERM', 'SIGHUP'] as const).forEach((signal) => process.on(signal, stopFleet));
setInterval(() => {
  if (process.ppid !== parentPid) {
    stopFleet();
  }
}, PARENT_CHECK_MS);
