/**
 * Reads a certificate and its private key and checks that they match. Returns `CERTIFICATE_INVALID` if a file
 * cannot be read or parsed, or if they do not match. The failure names the files but never includes their content.
 */
import { X509Certificate, createPrivateKey } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type Certificate from './Certificate.js';
import type CertificatePaths from './CertificatePaths.js';

/** Throws if the certificate or the key cannot be parsed, as with an empty file, or if they do not match. */
function checkPair({ cert, key }: Certificate): void {
  if (!new X509Certificate(cert).checkPrivateKey(createPrivateKey(key))) {
    throw new Error('the private key does not match the certificate');
  }
}

export default async function readCertificate({
  certificatePath,
  keyPath,
}: CertificatePaths): Promise<Result<Certificate, Failure>> {
  try {
    const cert = await readFile(certificatePath, 'utf8');
    const key = await readFile(keyPath, 'utf8');
    checkPair({ cert, key });
    return ok({ cert, key });
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    const reason = code ?? message;
    return err(createFailure('CERTIFICATE_INVALID', `${certificatePath}, ${keyPath}: ${reason}`));
  }
}
