'use strict';
/**
 * The connections that the machines hold open to the store go silent for good, while new ones work. Then a replica
 * reports that it drains, and says so in all its answers too (`Server-Leaving: 1`). It goes on serving for `drainMs` and a
 * little longer, then exits.
 */
const {
  BOUNDS,
  Relay,
  Replica,
  Store,
  call,
  createConfiguration,
  logRequests,
  network,
  nowMs,
  runCase,
  sleep,
} = require('../common/standins.cjs');

const MACHINES = 3;
const REPLICAS = 3;
const WORK_MS = 86;
/** Age of a call that waits for changes up to which it is young; such a call lasts 5 s. */
const YOUNG_MS = 800;
/** From the acknowledgement of the report to the replica's exit. */
const EXIT_AFTER_MS = BOUNDS.drainMs + 1_000;

runCase(__dirname, async (world) => {
  const store = world.add(new Store());
  await store.start(`${network}.200`);
  store.put('op', 'config', createConfiguration(7));
  const replicas = [];
  for (let index = 0; index < REPLICAS; index += 1) {
    const replica = new Replica({
      id: `i-7f3a91c${index}`,
      service: 'registro',
      store,
      workMs: WORK_MS,
    });
    await replica.start(`${network}.${210 + index}`);
    replicas.push(replica);
    world.add({ stop: () => replica.isUp && replica.end() });
  }
  const relays = [];
  const machines = await world.startMachines(MACHINES, async () => {
    const relay = world.add(new Relay({ host: store.host, port: store.port }));
    await relay.start(`${network}.201`);
    relays.push(relay);
    return relay;
  });
  world.log(`${MACHINES} machines ready`);

  const answers = [];
  let count = 0;
  let isSending = true;
  const client = async (machine) => {
    while (isSending) {
      count += 1;
      const id = `9c41d07be2a${String(count).padStart(5, '0')}`;
      const isBooking = Math.random() < 0.65;
      const request = isBooking
        ? { method: 'POST', target: '/puxa403/2f', body: '{"book":1}' }
        : { method: 'GET', target: '/cufi504/fi50/2f' };
      void call(machine, { id, host: 'ficu95.example', deadlineMs: 2_500, ...request }).then(
        (answer) => answers.push({ ...answer, isBooking }),
      );
      await sleep(40);
    }
  };
  machines.forEach((machine) => void client(machine));

  // The silence begins while the calls that wait for changes are young: any moment may be the one.
  await sleep(6_000);
  const isYoung = (count) => {
    const last = store.feedCalls
      .filter((feedCall) => feedCall.table === 'servers')
      .slice(-MACHINES);
    return last.filter(({ atMs }) => nowMs() - atMs < YOUNG_MS).length >= count;
  };
  // All machines start together, so their calls are young together; one is enough on a machine that starts them slowly.
  const allUntilMs = nowMs() + 11_000;
  const untilMs = nowMs() + 20_000;
  while (!isYoung(nowMs() < allUntilMs ? MACHINES : 1)) {
    if (nowMs() > untilMs) {
      throw new Error('the machines do not wait for changes of the servers');
    }
    await sleep(20);
  }
  const silentAtMs = nowMs();
  if (world.hasTrouble) {
    const silenced = relays.reduce((sum, relay) => sum + relay.silenceOpenConnections(), 0);
    world.log(`${silenced} open connections to the store go silent; new ones work`, silentAtMs);
  }
  await sleep(200);
  const leaving = replicas[0];
  leaving.extraHeaders = { 'server-leaving': '1' };
  const ackAtMs = leaving.register('draining');
  world.log(`the store acknowledges that ${leaving.id} is draining; its answers say so`, ackAtMs);
  await sleep(ackAtMs + EXIT_AFTER_MS - nowMs());
  leaving.end();
  world.log(`${leaving.id} exits`);
  await sleep(2_500);
  isSending = false;
  await sleep(2_600);

  const sent = new Map(answers.map((answer) => [answer.id, answer]));
  logRequests(world, answers, replicas);
  const toldAtMs = new Map();
  answers
    .filter(({ leavingAtMs }) => leavingAtMs !== undefined)
    .forEach(({ machine, leavingAtMs }) =>
      toldAtMs.set(machine, Math.min(leavingAtMs, toldAtMs.get(machine) ?? Infinity)),
    );
  toldAtMs.forEach((atMs, machine) =>
    world.log(`${machine} has passed on its first answer with Server-Leaving`, atMs),
  );
  const late = leaving.arrivals.filter(({ id }) => {
    const { machine, sentAtMs } = sent.get(id) ?? {};
    return sentAtMs > (toldAtMs.get(machine) ?? Infinity) + BOUNDS.drainMs;
  });
  late.forEach(({ id, atMs, end }) => {
    const { machine, status, error } = sent.get(id);
    world.log(
      `request ${id}, sent to ${machine}, reaches ${leaving.id} ${Math.round(atMs - toldAtMs.get(machine))} ms after that ` +
        `answer, ${Math.round(atMs - silentAtMs)} ms after the silence began; at the replica: ${end}; ` +
        `the client got ${status || error}`,
      atMs,
    );
  });
  const lost = late.filter(({ id }) => sent.get(id).isBooking && sent.get(id).status !== 200);
  world.log(
    `${late.length} requests that were sent later than ${BOUNDS.drainMs} ms after that answer reached the leaving replica; ` +
      `${lost.length} bookings among them were lost at its exit`,
  );
  return late.length === 0;
});
