/** A certificate chain and its private key, both in PEM. */
interface Certificate {
  readonly cert: string;
  readonly key: string;
}

export default Certificate;
