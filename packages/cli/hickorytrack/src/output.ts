/** Formats differences between objects as lines of text. */

/** Returns a `-` line with the old value and a `+` line with the new value for each leaf that differs. */
export function formatDifferences(before: Record<string, unknown>, after: Record<string, unknown>): string[] {
	const oldLeaves = collectLeaves(before);
	const newLeaves = collectLeaves(after);
	const paths = [...new Set([...oldLeaves.keys(), ...newLeaves.keys()])].sort();
	return paths.flatMap(path => {
		const oldValue = oldLeaves.get(path);
		const newValue = newLeaves.get(path);
		if (oldValue === newValue) {
			return [];
		}

		return [...(oldValue === undefined ? [] : [`- ${path}: ${oldValue}`]), ...(newValue === undefined ? [] : [`+ ${path}: ${newValue}`])];
	});
}

function collectLeaves(value: unknown, path = '', leaves = new Map<string, string>()): Map<string, string> {
	if (typeof value === 'object' && value !== null) {
		for (const [key, child] of Object.entries(value)) {
			collectLeaves(child, path === '' ? key : `${path}.${key}`, leaves);
		}
	} else if (value !== undefined) {
		leaves.set(path, JSON.stringify(value));
	}

	return leaves;
}
