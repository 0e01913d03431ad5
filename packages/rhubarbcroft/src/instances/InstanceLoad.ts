/** What an endpoint said of its load with an answer. */
interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

export default InstanceLoad;
