/** The buffered answer of a plain service. */
interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

export default ServiceAnswer;
