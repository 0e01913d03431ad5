/**
 * Guards against requests that share one part of their prompt and crash one engine after the other, although no two of
 * them are alike, and against refusing the sound requests that share their other parts.
 */
import { expect } from 'chai';
import SimulatedFleet from './SimulatedFleet.js';

const DAY = {
  durationMs: 450_000,
  poisonFromMs: 4_000,
  poisonUntilMs: 440_000,
  poisonShare: 0.05,
  poisonPrompt: ['first-0', 'poison'],
  poisonPart: 'poison',
  otherCrashPeriodMs: 20_000,
};
const SEEDS = [1, 2, 3];
/** From the platform's rules: dispatches after the fifth crash, and how often companions begin, in percent. */
const MAX_LATE_DISPATCHES = 3;
const MIN_BEGUN_PERCENT = 50;

describe('prompt parts that crash engines', () => {
  [
    { name: 'a part that is always poisonous', day: DAY },
    {
      name: 'a part at the front of a longer prompt',
      day: { ...DAY, poisonPrompt: ['first-0', 'poison', 'second-7'] },
    },
    {
      name: 'a part that was sound before',
      day: { ...DAY, poisonPrompt: ['first-0', 'second-7'], poisonPart: 'second-7' },
    },
    {
      name: 'a cold fleet, where nothing has been answered',
      day: { ...DAY, poisonFromMs: 0, poisonShare: 0.3 },
    },
    { name: 'a fifth of all requests', day: { ...DAY, poisonShare: 0.2 } },
    {
      name: 'other crashes every two seconds',
      day: { ...DAY, otherCrashPeriodMs: 2_000 },
    },
    {
      name: 'other crashes only',
      day: { ...DAY, poisonShare: 0, otherCrashPeriodMs: 2_000 },
    },
  ].forEach(({ name, day }) => {
    it(`reach few engines, and their companions are served: ${name}`, () => {
      const outcomes = SEEDS.map((seed) => new SimulatedFleet({ ...day, seed }).run());
      outcomes.forEach(({ lateDispatches, companionsBegunPercent }) => {
        expect(lateDispatches).to.be.at.most(MAX_LATE_DISPATCHES);
        expect(companionsBegunPercent).to.be.at.least(MIN_BEGUN_PERCENT);
      });
      expect(outcomes.map((outcome) => Object.entries(outcome).join('  '))).toMatchSnapshot();
    });
  });
});
