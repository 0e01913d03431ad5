/** The load in requests that an endpoint reported with an answer. */
interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at this moment, 1 being the usual time; undefined if the endpoint does not report it. */
  readonly pace?: number | undefined;
}

export default InstanceLoad;
