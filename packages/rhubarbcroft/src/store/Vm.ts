/** An entry of the platform's VM list, which lags behind the actual state of the VMs. */
interface Vm {
  readonly id: string;
  readonly state: 'live' | 'leaving';
}

export default Vm;
