'use strict';
/**
 * The connections that the machines hold open to the store go silent for good, while new ones work. Then the operator
 * moves the route of the bookings to another service. The machines are in touch again 4 s after the silence began.
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
const REPLICAS = 2;
const WORK_MS = 86;
/** Age of a call that waits for changes up to which it is young; such a call lasts 5 s. */
const YOUNG_MS = 800;
/** Allowed on top of `contactMs`, for a silence that would take half a second to set in. */
const CONTACT_MARGIN_MS = 500;
const OLD_SERVICE = 'registro';
const NEW_SERVICE = 'registro-nuevo';

function createVersion(version, service) {
  const configuration = createConfiguration(
    version,
    [],
    [{ name: NEW_SERVICE, healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false }],
  );
  const routes = configuration.routes.map((route) =>
    route.kind === 'non_idempotent' ? { ...route, service } : route,
  );
  return { ...configuration, routes };
}

runCase(__dirname, async (world) => {
  const store = world.add(new Store());
  await store.start(`${network}.200`);
  store.put('op', 'config', createVersion(7, OLD_SERVICE));
  const replicas = [];
  for (let index = 0; index < 2 * REPLICAS; index += 1) {
    const replica = new Replica({
      id: `i-7f3a91c${index}`,
      service: index < REPLICAS ? OLD_SERVICE : NEW_SERVICE,
      store,
      workMs: WORK_MS,
    });
    await replica.start(`${network}.${210 + index}`);
    replicas.push(replica);
    world.add({ stop: () => replica.end() });
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
  const book = async (machine) => {
    while (isSending) {
      count += 1;
      const id = `9c41d07be2a${String(count).padStart(5, '0')}`;
      void call(machine, {
        id,
        target: '/puxa403/2f',
        host: 'ficu95.example',
        deadlineMs: 2_500,
        body: '{"book":1}',
      }).then((answer) => answers.push(answer));
      await sleep(100);
    }
  };
  machines.forEach((machine) => void book(machine));

  // The silence begins while the calls that wait for changes are young, as they are at a third of all moments.
  await sleep(6_000);
  const isYoung = (count) => {
    const last = store.feedCalls.filter((feedCall) => feedCall.table === 'op').slice(-MACHINES);
    return last.filter(({ atMs }) => nowMs() - atMs < YOUNG_MS).length >= count;
  };
  // All machines start together, so their calls are young together; one is enough on a machine that starts them slowly.
  const allUntilMs = nowMs() + 11_000;
  const untilMs = nowMs() + 20_000;
  while (!isYoung(nowMs() < allUntilMs ? MACHINES : 1)) {
    if (nowMs() > untilMs) {
      throw new Error('the machines do not wait for changes of the configuration');
    }
    await sleep(20);
  }
  const silentAtMs = nowMs();
  if (world.hasTrouble) {
    const silenced = relays.reduce((sum, relay) => sum + relay.silenceOpenConnections(), 0);
    world.log(`${silenced} open connections to the store go silent; new ones work`, silentAtMs);
  }
  await sleep(200);
  const ackAtMs = store.put('op', 'config', createVersion(8, NEW_SERVICE));
  world.log(
    `the store acknowledges version 8: bookings go to ${NEW_SERVICE}, not ${OLD_SERVICE}`,
    ackAtMs,
  );
  await sleep(8_000);
  isSending = false;
  await sleep(2_600);

  logRequests(world, answers, replicas);
  const fromMs = Math.max(
    ackAtMs + BOUNDS.configApplyMs,
    silentAtMs + BOUNDS.contactMs + CONTACT_MARGIN_MS,
  );
  const sent = new Map(answers.map((answer) => [answer.id, answer]));
  const late = replicas
    .filter(({ service }) => service === OLD_SERVICE)
    .flatMap(({ arrivals }) => arrivals)
    .filter(({ id, ran }) => ran && (sent.get(id)?.sentAtMs ?? -Infinity) > fromMs)
    .sort((a, b) => a.atMs - b.atMs);
  late.forEach(({ id, replica, atMs }) => {
    const { machine, sentAtMs, status } = sent.get(id);
    world.log(
      `booking ${id}, sent to ${machine} ${Math.round(sentAtMs - ackAtMs)} ms after the acknowledgement and ` +
        `${Math.round(sentAtMs - silentAtMs)} ms after the silence began, is run by ${replica} of ${OLD_SERVICE}; ` +
        `the client got ${status}`,
      atMs,
    );
  });
  const checked = answers.filter(({ sentAtMs }) => sentAtMs > fromMs).length;
  world.log(
    `${late.length} of ${checked} bookings that were sent when version 8 had to be in force were run by the old service`,
  );
  return late.length === 0 && checked > 0;
});
