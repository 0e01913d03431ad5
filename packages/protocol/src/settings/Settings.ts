/** The validated settings of the daemon; read-only. */
import type { z } from 'zod';
import type settingsSchema from './settingsSchema.js';

type ValidatedSettings = z.infer<typeof settingsSchema>;

type Settings = {
  readonly [Section in keyof ValidatedSettings]: {
    readonly [Key in keyof ValidatedSettings[Section]]: Readonly<ValidatedSettings[Section][Key]>;
  };
};

export default Settings;
