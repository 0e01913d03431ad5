/** The result of offering a request for admission: it is queued, or refused with a code. */
type AdmissionResult =
  | { readonly admitted: true }
  | {
      readonly admitted: false;
      readonly code: 'QUEUE_FULL' | 'DEADLINE_UNREACHABLE';
      readonly retryAfterMs: number;
    };

export default AdmissionResult;
