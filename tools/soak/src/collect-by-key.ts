/** Returns the elements of a list by their key, in the order of the list. */
export function collectByKey<Key, Element>(list: Iterable<Element>, getKey: (element: Element) => Key): Map<Key, Element[]> {
	const groups = new Map<Key, Element[]>();
	for (const element of list) {
		const key = getKey(element);
		const group = groups.get(key);
		if (group) {
			group.push(element);
		} else {
			groups.set(key, [element]);
		}
	}

	return groups;
}
