/** Number of engines in each role at one time of a replay. */
interface RoleCount {
  readonly atMs: number;
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

export default RoleCount;
