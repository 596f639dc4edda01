import {connect} from 'node:net';
import {expect} from 'chai';
import {Client} from 'undici';
import {parseIpv4Address, parseSocketAddress, splitAddress} from '../src/socket-address.js';

const usable = ['127.0.0.1:1', '10.2.0.236:7180', '255.255.255.255:65535', 'localhost:7480', 'engine-1.example:80', '0.0.0.0:8080'];
const unusable = [
	'127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:0', '127.0.0.1:080', '300.1.1.1:80', '010.1.1.1:80', '1.2.3:80', '1.2.3.4.5:80', '0x7f.1:80', '127.0.0.1', '127.0.0.1:', ':80', '', ' 127.0.0.1:80', '127.0.0.1:80\n', '127.0.0.1:80/x', 'a b:80', 'xn--a:80', '[::1]:80', '１２７.0.0.1:80', `${'a'.repeat(300)}:80`, '127.0.0.1:1e3', '127.0.0.1:+80', 'u@h:80', undefined, null, 80, true, {}, [], ['127.0.0.1:80'],
];

describe('socket addresses', () => {
	// Guards against exceptions where a connection is opened to an address that was checked by another rule.
	for (const address of usable) {
		it(`opens a connection to ${address} without an exception`, async () => {
			const parsed = parseSocketAddress(address)!;
			expect(parsed).to.equal(address);
			const client = new Client(`http://${parsed}`);
			await client.destroy();
			const socket = connect(splitAddress(parsed));
			socket.on('error', () => undefined);
			socket.destroy();
		});
	}

	for (const value of unusable) {
		it(`rejects ${JSON.stringify(value)?.slice(0, 40)}`, () => {
			expect(parseSocketAddress(value)).to.equal(undefined);
		});
	}

	it('tells IPv4 addresses from names', () => {
		expect(parseIpv4Address('10.0.0.1:80')).to.equal('10.0.0.1:80');
		expect(parseIpv4Address('localhost:80')).to.equal(undefined);
	});
});
