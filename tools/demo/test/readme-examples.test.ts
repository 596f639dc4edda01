/** Runs the README examples of the packages that are intended for embedding in other programs. */
import {readdir, readFile, writeFile} from 'node:fs/promises';

const root = new URL('../../../../', import.meta.url);

const listFolders = async (): Promise<string[]> => {
	const names = await readdir(new URL('packages/coordination/', root));
	return ['packages/net/peer-link/', ...names.map(name => `packages/coordination/${name}/`)];
};

describe('README examples', () => {
	it('run unmodified', async () => {
		for (const folder of await listFolders()) {
			const text = await readFile(new URL(`${folder}README.md`, root), 'utf8');
			const example = /```js\n(?<code>.*?)```/s.exec(text)?.groups?.code;
			if (example === undefined) {
				throw new Error(`${folder}README.md has no js code block`);
			}

			const file = new URL(`${folder}lib/readme-example.mjs`, root);
			await writeFile(file, example);
			await import(file.href);
		}
	});
});
