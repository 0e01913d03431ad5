/**
 * Bundles the platform's entry point into one file: on a machine with a fraction of a core it starts in a third of the
 * time that separate files take. The logger's optional native dependencies are not bundled.
 */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/gateway.mjs',
  bundle: true,
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  tsconfig: 'deploy/tsconfig.json',
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'safe-json-stringify'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
