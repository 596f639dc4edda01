/** Formatting of differences for people. */

/** Returns one line for each leaf that differs: `-` for what is in force, `+` for what would be. */
export function formatDifferences(before: Record<string, unknown>, after: Record<string, unknown>): string[] {
	const old = flatten(before);
	const fresh = flatten(after);
	const paths = [...new Set([...old.keys(), ...fresh.keys()])].sort();
	return paths.flatMap(path => {
		const a = old.get(path);
		const b = fresh.get(path);
		if (a === b) {
			return [];
		}

		return [...(a === undefined ? [] : [`- ${path}: ${a}`]), ...(b === undefined ? [] : [`+ ${path}: ${b}`])];
	});
}

function flatten(value: unknown, path = '', leaves = new Map<string, string>()): Map<string, string> {
	if (typeof value === 'object' && value !== null) {
		for (const [key, inner] of Object.entries(value)) {
			flatten(inner, path === '' ? key : `${path}.${key}`, leaves);
		}
	} else if (value !== undefined) {
		leaves.set(path, JSON.stringify(value));
	}

	return leaves;
}
