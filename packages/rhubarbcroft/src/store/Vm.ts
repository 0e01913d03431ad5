/** A VM as the platform lists it; the list lags behind reality. */
interface Vm {
  readonly id: string;
  readonly state: 'live' | 'leaving';
}

export default Vm;
