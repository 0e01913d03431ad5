/** Counts the engines in each role. */
import type RoleCount from './RoleCount.js';
import type SimulatedEngine from './SimulatedEngine.js';

export default function countRoles(engines: readonly SimulatedEngine[], atMs: number): RoleCount {
  const count = (role: string): number => engines.filter(({ model }) => model.role === role).length;
  return { atMs, prefill: count('prefill'), decode: count('decode'), mixed: count('mixed') };
}
