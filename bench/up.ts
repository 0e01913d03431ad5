/** Leaves the small fleet running for a person to try, and prints the commands to try. */
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';

const fleet = await LocalFleet.start(createSmallFleet());
const [first, second] = fleet.nodes;
process.stdout.write(`The fleet is up. Try:

  curl -N ${first.callerUrl}/v1/completions -d '{"model":"appraiser","prompt":"one crate","max_tokens":16,"stream":true}'
  curl ${second.callerUrl}/v1/models
  curl -X POST -H 'Idempotency-Key: k1' ${second.callerUrl}/services/ledger/write-downs -d '{"crates":1}'
  export RHUBARBCTL_URL=${first.operatorUrl} RHUBARBCTL_TOKEN=${LocalFleet.operatorToken}
  npx rhubarbctl state
  npx rhubarbctl drain engine-1

Ctrl-C ends it.
`);
/** How soon the fleet ends after the process that started this one, npm or a shell, was killed. */
const PARENT_CHECK_MS = 500;
const parentPid = process.ppid;
let leaving = false;

function leave(): void {
  if (!leaving) {
    leaving = true;
    void fleet.stop().then(() => process.exit(0));
  }
}

(['SIGINT', 'SIGTERM', 'SIGHUP'] as const).forEach((signal) => process.on(signal, leave));
setInterval(() => {
  if (process.ppid !== parentPid) {
    leave();
  }
}, PARENT_CHECK_MS);
