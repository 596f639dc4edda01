import {expect} from 'chai';
import {allFaults, listedFaults} from '../src/faults.js';
import {unbornFault} from '../src/server-operations.js';

describe('faults of the soak', () => {
	// Guards against LOST of a soak whose servers leave out of their status what the users' servers always say.
	it('plays servers whose status names no start only if they are listed', () => {
		expect(allFaults).to.not.include(unbornFault);
		expect(listedFaults).to.include(unbornFault);
	});
});
