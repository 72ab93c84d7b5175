import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Functions of `Math` whose last bit the language leaves to the engine: it differs between processors. */
const ENGINE_DEPENDENT_FUNCTIONS = [
  ...['exp', 'expm1', 'log', 'log1p', 'log2', 'log10', 'pow', 'cbrt', 'hypot'],
  ...['sin', 'cos', 'tan', 'asin', 'acos', 'atan', 'atan2'],
  ...['sinh', 'cosh', 'tanh', 'asinh', 'acosh', 'atanh'],
];

const SAME_RESULTS =
  'Its last bit differs between processors: use src/controller/runtime/elementary-functions.ts.';

export default tseslint.config(
  { ignores: ['target/', 'journal/', 'node_modules/'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': 'off',
      '@typescript-eslint/prefer-promise-reject-errors': 'off',
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts'],
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'default', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'import', format: ['camelCase', 'PascalCase'] },
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE'] },
        // Destructured variables and parameters may be classes that are passed as values.
        { selector: ['parameter', 'variable'], modifiers: ['destructured'], format: null },
        { selector: 'parameter', format: ['camelCase', 'PascalCase'], leadingUnderscore: 'allow' },
        // Properties may have the names of protocols, records, metrics and settings.
        {
          selector: ['objectLiteralProperty', 'objectLiteralMethod', 'typeProperty'],
          modifiers: ['requiresQuotes'],
          format: null,
        },
        {
          selector: ['objectLiteralProperty', 'typeProperty'],
          format: null,
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts'],
    rules: {
      'no-restricted-properties': [
        'error',
        ...ENGINE_DEPENDENT_FUNCTIONS.map((property) => ({
          object: 'Math',
          property,
          message: SAME_RESULTS,
        })),
      ],
      // Powers of two with whole exponents are exact on every engine.
      'no-restricted-syntax': [
        'error',
        {
          selector: "BinaryExpression[operator='**']:not([left.raw=/^2n?$/])",
          message: SAME_RESULTS,
        },
        {
          selector: "BinaryExpression[operator='**'][right.raw=/[.]/]",
          message: SAME_RESULTS,
        },
        { selector: "AssignmentExpression[operator='**=']", message: SAME_RESULTS },
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts'],
    rules: {
      // The lowest complexity limit that all of the code passes.
      complexity: ['error', 12],
      'max-lines': ['error', { max: 300 }],
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts'],
    // In test files the callback of `describe` contains a whole suite, which may be longer.
    ignores: ['**/*.test.ts'],
    rules: { 'max-lines-per-function': ['error', { max: 40 }] },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    plugins: { jsdoc },
    // Every exported item has a doc comment, and so has every public member of an exported class.
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: { ancestorsOnly: true, esm: true, cjs: false },
          require: { FunctionDeclaration: true, ClassDeclaration: true, MethodDefinition: true },
          checkConstructors: false,
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts', 'test/**/*.ts'],
    rules: {
      // `describe` and `it` of node:test return promises, which the tests do not await.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['eslint.config.js', '.dependency-cruiser.mjs'],
    ...tseslint.configs.disableTypeChecked,
  },
);
