/**
 * Arguments shared by the commands that call the administration API; environment variables set the
 * defaults.
 */
import type { ArgsDef } from 'citty';

const commonArgs = {
  url: {
    type: 'string',
    description: 'URL of the administration API of an entry VM (RHUBARBCTL_URL)',
    default: process.env.RHUBARBCTL_URL ?? 'http://127.0.0.1:8081',
  },
  token: {
    type: 'string',
    description: 'operator token (RHUBARBCTL_TOKEN)',
    default: process.env.RHUBARBCTL_TOKEN ?? '',
  },
  ca: {
    type: 'string',
    description: 'PEM certificate to trust for https addresses (RHUBARBCTL_CA)',
    default: process.env.RHUBARBCTL_CA ?? '',
  },
  output: {
    type: 'enum',
    alias: 'o',
    options: ['table', 'json'],
    default: 'table',
    description: 'output format',
  },
} satisfies ArgsDef;

export default commonArgs;
