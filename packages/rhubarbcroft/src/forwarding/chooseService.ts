/** Chooses one of a route's destinations at random, by their weights. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type Route from '../routes/Route.js';

export default function chooseService({ destinations }: Route, random: RandomGenerator): string {
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
  let left = uniformFloat64(random) * total;
  const chosen = destinations.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (chosen ?? destinations[0]).service;
}
