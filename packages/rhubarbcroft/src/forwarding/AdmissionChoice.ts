/** The admission policies of a node; the routing document in force decides between them. */
import type ArrivalAdmission from '../decisions/admission/ArrivalAdmission.js';

interface AdmissionChoice {
  readonly withAccounts: ArrivalAdmission;
  readonly withoutAccounts: ArrivalAdmission;
}

export default AdmissionChoice;
