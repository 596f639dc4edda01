const relaxed = {
	// The users want short names that readers of the language expect (`opts`, `args`).
	'unicorn/prevent-abbreviations': 'off',
	// Tasks are written straight down, so they wait inside loops.
	'no-await-in-loop': 'off',
	// The house style fixes the verbs of functions; wire formats and problem codes keep their own names.
	'@typescript-eslint/naming-convention': 'off',
	// Our own stores have a method `find` that takes a key; the rule takes every `find` for an array's.
	'unicorn/no-array-callback-reference': 'off',
	// One task per connection is started without waiting for it; `then` marks what follows its end.
	'promise/prefer-await-to-then': 'off',
	// Fields are declared where they are explained.
	'@typescript-eslint/parameter-properties': 'off',
	'@typescript-eslint/member-ordering': 'off',
	// A line of prose in a table of settings is not broken.
	'@stylistic/max-len': 'off',
	// A constant name of a class is easier to read as a field.
	'@typescript-eslint/class-literal-property-style': 'off',
	// Frames and records are read with the methods of Buffer; JSON has null.
	'@typescript-eslint/no-restricted-types': 'off',
	// One switch over the kinds of a message is the plainest form; its length is not complexity.
	complexity: 'off',
	// A default branch covers the kinds that are treated alike.
	'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true, allowDefaultCaseForExhaustiveSwitch: true}],
	// `push` and `find` of our own classes are not those of arrays.
	'unicorn/prefer-single-call': 'off',
	'unicorn/prefer-array-some': 'off',
};

const inOwnedSources = {
	// A promise that nobody waits for has an owner, `BackgroundTasks`, so that its error ends no process; `void` hides one.
	'@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
};

const inTaskOwner = {
	// The owner of tasks itself; the methods that it starts never reject.
	'@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: true}],
};

const inTests = {
	// The test libraries are development dependencies of the whole workspace.
	'n/no-extraneous-import': 'off',
	'import-x/no-extraneous-dependencies': 'off',
	'unicorn/no-await-expression-member': 'off',
	'@typescript-eslint/no-loop-func': 'off',
	'@typescript-eslint/no-unused-expressions': 'off',
};

const inScripts = {
	// Scripts are plain JavaScript and use the packages of the workspace.
	'n/no-extraneous-import': 'off',
	'import-x/no-extraneous-dependencies': 'off',
	'unicorn/prevent-abbreviations': 'off',
	'@stylistic/max-len': 'off',
};

export default [
	{ignores: ['**/lib/**', 'docs/**', '**/*.md']},
	{files: ['**/*.ts'], rules: relaxed},
	{files: ['platform/src/**/*.ts', 'packages/{core,net,coordination,routing,serving}/*/src/**/*.ts', 'packages/plugins/edge/src/**/*.ts'], rules: inOwnedSources},
	{files: ['packages/core/background-tasks/src/**/*.ts'], rules: inTaskOwner},
	{files: ['**/*.js', '**/*.mjs'], rules: inScripts},
	{files: ['**/test/**/*.ts'], rules: inTests},
];
