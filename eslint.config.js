/**
 * The Airbnb guide, with the project's own lines ahead of it.
 *
 * Tasks are written straight down as async functions, so awaiting in a loop and `for...of` are the
 * normal form here; behaviour varies by abstract classes, so a method need not use `this`. One export a
 * file is kept by `prefer-default-export`.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'out/**',
      'target/**',
      'journal/**',
      'bench/traces/**',
      '**/*.cjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { jsdoc },
    rules: {
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-continue': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/prefer-default-export': 'error',
      'import-x/no-named-as-default': 'off',
      'import-x/no-named-as-default-member': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/order': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      '@typescript-eslint/consistent-type-definitions': 'off',
      '@typescript-eslint/prefer-readonly': 'off',
      'max-lines': ['error', { max: 300 }],
      'max-lines-per-function': ['error', { max: 60, skipComments: true }],
      'max-depth': ['error', 3],
      complexity: ['error', 15],
      'class-methods-use-this': 'off',
    },
  },
  {
    files: ['packages/*/src/index.ts'],
    rules: {
      'import-x/prefer-default-export': 'off',
      'no-restricted-exports': 'off',
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-loop-func': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      'import-x/prefer-default-export': 'off',
    },
  },
];
