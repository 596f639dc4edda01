/** Runs a plain service stand-in as a process: `service-main PORT`. */
import process from 'node:process';
import {PlainService} from './plain-service.js';

const service = new PlainService();
await service.start(Number(process.argv[2]));
process.on('SIGTERM', () => {
	process.exit(0);
});
