/** The platform's list of live and leaving VMs. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type Vm from './Vm.js';

abstract class VmList {
  abstract read(): Promise<Result<readonly Vm[], Failure>>;
}

export default VmList;
