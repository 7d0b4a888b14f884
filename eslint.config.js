import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**'] },
  ...tseslint.configs.strict,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a union of literals.' },
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export.' },
      ],
      complexity: ['error', 16],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }],
      eqeqeq: 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
