import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {HttpModelEngine} from '../src/http-model-engine.js';
import {HttpPlainService} from '../src/http-plain-service.js';

describe('queries of the HTTP engines', () => {
	let server: Server;

	const describeEngines = async () => {
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
		const results = await Promise.all([new HttpModelEngine(url).describe(), new HttpPlainService({url, service: 's'}).describe()]);
		return results.map(result => result._unsafeUnwrapErr().code);
	};

	beforeEach(async () => {
		server = createServer(socket => {
			socket.on('error', () => {
				// The client closes its connections.
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		server.close();
	});

	// A sound engine may fall silent. Requests in the queue of its agent were refused as if it were gone.
	it('tell an engine that is silent from one that can\'t be reached', async () => {
		expect(await describeEngines()).to.deep.equal(['ERR_HICKORYTRACK_ENGINE_SILENT', 'ERR_HICKORYTRACK_ENGINE_SILENT']);
		server.on('connection', socket => {
			socket.resetAndDestroy();
		});
		expect(await describeEngines()).to.deep.equal(['ERR_HICKORYTRACK_ENGINE_UNREACHABLE', 'ERR_HICKORYTRACK_ENGINE_UNREACHABLE']);
	});
});
