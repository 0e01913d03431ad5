/**
 * `rhubarbctl token`: generates a token and its hash for an account in the fleet file; stores
 * nothing.
 */
import { createHash, randomBytes } from 'node:crypto';
import { defineCommand } from 'citty';

const TOKEN_BYTES = 24;

const tokenCommand = defineCommand({
  meta: {
    name: 'token',
    description: 'generate a token and its hash for an account: rhubarbctl token',
  },
  run() {
    const token = randomBytes(TOKEN_BYTES).toString('base64url');
    const hash = createHash('sha256').update(token).digest('hex');
    process.stdout.write(`token = ${token}\ntokenHashes = ${hash}\n`);
  },
});

export default tokenCommand;
