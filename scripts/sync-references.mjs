// Writes each package's tsconfig.json with project references that match the dependencies in its package.json.
import fs from 'node:fs';
import path from 'node:path';

const listPackageFolders = () => {
	const folders = ['platform', 'stand-ins'];
	for (const parent of ['tools', ...fs.readdirSync('packages').map(domain => path.join('packages', domain))]) {
		folders.push(...fs.readdirSync(parent).map(name => path.join(parent, name)));
	}

	return folders.filter(folder => fs.existsSync(path.join(folder, 'package.json'))).sort();
};

const foldersByName = new Map(listPackageFolders().map(folder => [JSON.parse(fs.readFileSync(path.join(folder, 'package.json'), 'utf8')).name, folder]));

const writeIfChanged = (file, value) => {
	const text = JSON.stringify(value, undefined, '\t') + '\n';
	if (!fs.existsSync(file) || fs.readFileSync(file, 'utf8') !== text) {
		fs.writeFileSync(file, text);
	}
};

for (const folder of foldersByName.values()) {
	const manifest = JSON.parse(fs.readFileSync(path.join(folder, 'package.json'), 'utf8'));
	const dependencies = Object.keys({...manifest.dependencies, ...manifest.devDependencies}).filter(name => foldersByName.has(name));
	writeIfChanged(path.join(folder, 'tsconfig.json'), {
		extends: path.relative(folder, 'tsconfig.base.json'),
		compilerOptions: {rootDir: '.', outDir: 'lib'},
		include: ['src', 'test'],
		references: dependencies.map(name => ({path: path.relative(folder, foldersByName.get(name))})),
	});
}

writeIfChanged('tsconfig.json', {files: [], references: [...foldersByName.values()].map(folder => ({path: folder}))});
