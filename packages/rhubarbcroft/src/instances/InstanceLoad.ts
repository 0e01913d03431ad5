/** The load in requests that an endpoint reported with an answer. */
interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

export default InstanceLoad;
