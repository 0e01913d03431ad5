/** The paths of a listener's certificate and private key, from the settings; both are empty for plain HTTP. */
interface CertificatePaths {
  readonly certificatePath: string;
  readonly keyPath: string;
}

export default CertificatePaths;
