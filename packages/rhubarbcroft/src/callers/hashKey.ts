/** Hashes a caller's key or token, as lowercase hexadecimal text; accounts are listed with these hashes only. */
import { createHash } from 'node:crypto';

export default function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
