'use strict';
/**
 * One client repeats one request that crashes each replica that begins to run it. The same request comes again at any
 * machine, with the same path and caller. Other clients book and look up beside it.
 */
const {
  BOUNDS,
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
const CRASH_AFTER_MS = 20;
/** A crashed replica is back after some seconds. */
const DOWN_MS = 3_000;
/** The store removes an entry after three heartbeat intervals of silence. */
const LAPSE_MS = 3 * BOUNDS.heartbeatMs;
const LENGTH_MS = 50_000;
const PERIOD_MS = 2_500;
const DEADLY_PATH = '/cufi504/fi50/deadly';
const MAX_RETRIES = 3;

runCase(__dirname, async (world) => {
  const store = world.add(new Store());
  await store.start(`${network}.200`);
  store.put('op', 'config', createConfiguration(7));
  const crashes = [];
  const deadly = [];
  const arrivals = [];
  let incarnation = 0;
  const live = new Set();
  const all = [];
  const begin = async (host) => {
    incarnation += 1;
    const replica = new Replica({
      id: `i-${String(incarnation).padStart(8, '0')}`,
      service: 'registro',
      store,
      workMs: WORK_MS,
      record: (arrival) => arrivals.push(arrival),
    });
    replica.onRun = (request, arrival) => {
      if (request.url !== DEADLY_PATH) {
        return false;
      }
      deadly.push(arrival);
      if (!world.hasTrouble) {
        return false;
      }
      setTimeout(() => crash(replica, host, arrival), CRASH_AFTER_MS);
      return true;
    };
    await replica.start(host);
    live.add(replica);
    all.push(replica);
  };
  const crash = (replica, host, { id }) => {
    if (!replica.isUp) {
      return;
    }
    const cut = replica.running - 1;
    replica.end();
    live.delete(replica);
    crashes.push(nowMs());
    world.log(
      `crash ${crashes.length}: request ${id} crashes ${replica.id}; ${cut} other runs are cut`,
    );
    setTimeout(() => store.remove('servers', replica.id), LAPSE_MS);
    setTimeout(() => void begin(host), DOWN_MS);
  };
  world.add({ stop: () => live.forEach((replica) => replica.end()) });
  for (let index = 0; index < REPLICAS; index += 1) {
    await begin(`${network}.${210 + index}`);
  }
  const machines = await world.startMachines(MACHINES, () => store);
  world.log(`${MACHINES} machines ready`);

  const answers = [];
  let count = 0;
  let isSending = true;
  const book = async (machine) => {
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
      await sleep(200);
    }
  };
  machines.forEach((machine) => void book(machine));
  await sleep(3_000);

  const attempts = [];
  const untilMs = nowMs() + LENGTH_MS;
  for (let attempt = 1; nowMs() < untilMs; attempt += 1) {
    const machine = machines[attempt % MACHINES];
    const id = `dead0000${String(attempt).padStart(8, '0')}`;
    const answer = await call(machine, {
      id,
      method: 'GET',
      target: DEADLY_PATH,
      host: 'ficu95.example',
      deadlineMs: 2_500,
    });
    attempts.push(answer);
    world.log(
      `attempt ${attempt} (${id}) by ${machine.name}: reached ` +
        `${deadly.filter((other) => other.id === id).length} replicas; the client got ${answer.status || answer.error}`,
      answer.sentAtMs,
    );
    await sleep(answer.sentAtMs + PERIOD_MS - nowMs());
  }
  isSending = false;
  await sleep(2_600);

  logRequests(world, [...answers, ...attempts], all);
  const fromMs = (crashes[2] ?? Infinity) + BOUNDS.contactMs;
  const late = attempts.filter(
    ({ id, sentAtMs }) => sentAtMs > fromMs && deadly.some((arrival) => arrival.id === id),
  );
  const arrivedLate = deadly.filter(({ atMs }) => atMs > fromMs).length;
  const lost = answers.filter(
    ({ id, isBooking, status }) =>
      isBooking && status !== 200 && arrivals.some((arrival) => arrival.id === id && arrival.ran),
  );
  world.log(`${crashes.length} crashes; ${lost.length} bookings that had begun to run were lost`);
  world.log(
    `${late.length} attempts sent later than ${BOUNDS.contactMs} ms after the third crash reached replicas ` +
      `(${arrivedLate} arrivals); at most ${MAX_RETRIES} may`,
  );
  return late.length <= MAX_RETRIES;
});
