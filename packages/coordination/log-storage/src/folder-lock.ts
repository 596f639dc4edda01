/**
 * Exclusive lock on a data folder: a listening socket in the abstract namespace, named after the folder's device and
 * inode. The kernel releases it when the process exits and keeps it while the process is paused, so no stale lock
 * remains and a paused owner still excludes other processes.
 */
import {createServer, type Server} from 'node:net';
import {stat} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import {LogStorageError} from './log-storage.js';

export type FolderLock = {
	release(): Promise<void>;
};

export async function acquireFolderLock(folder: string): Promise<Result<FolderLock, LogStorageError>> {
	const {dev, ino} = await stat(folder);
	const server = createServer();
	server.unref();
	return new Promise(resolve => {
		server.once('error', error => {
			resolve(err(new LogStorageError('ERR_HICKORYTRACK_FOLDER_LOCKED', `Data folder ${folder} is locked by another process`, {
				cause: error, hint: 'Stop the other process, or configure a separate data folder for this one.',
			})));
		});
		server.listen(`\0hickorytrack-${dev}-${ino}`, () => {
			resolve(ok({release: async () => closeServer(server)}));
		});
	});
}

async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
