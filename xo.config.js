const relaxed = {
	// The users want short names that readers of the language expect (`opts`, `args`).
	'unicorn/prevent-abbreviations': 'off',
	// Tasks are written straight down, so they wait inside loops.
	'no-await-in-loop': 'off',
	// Values that differ by state are told apart by their kind, and JSON has null.
	'@typescript-eslint/naming-convention': 'off',
};

export default [
	{ignores: ['**/lib/**', 'docs/**']},
	{rules: relaxed},
	{files: ['**/*.ts'], rules: relaxed},
];
