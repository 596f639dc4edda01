import {expect} from 'chai';
import {checkContract, computeKeyDigest, parseContract} from '../src/contract-schema.js';

describe('contract schema', () => {
	it('fills in defaults and keeps only the digest of a key', () => {
		const contract = parseContract('workspace: cuenca\napiKeys:\n  - id: app\n    key: secret-key\nmodels: [drafts]\n')._unsafeUnwrap();
		expect(contract.apiKeys[0]).to.deep.equal({id: 'app', sha256: computeKeyDigest('secret-key')});
		expect(contract.targets.firstTokenMs).to.equal(460);
		expect(JSON.stringify(contract)).to.not.contain('secret-key');
	});

	it('reports every issue with its line and path', () => {
		const {issues} = parseContract('workspace: cuenca\napiKeys: []\nlimits:\n  burst: none\n  colour: red\n')._unsafeUnwrapErr();
		expect(issues.map(issue => issue.path)).to.include.members(['apiKeys', 'limits.burst', 'limits']);
		expect(issues.find(issue => issue.path === 'limits.burst')!.line).to.equal(4);
	});

	it('reports a YAML syntax error with its line', () => {
		const {issues} = parseContract('workspace: [\n')._unsafeUnwrapErr();
		expect(issues[0]!.line).to.be.a('number');
	});

	it('rejects values that are not a contract', () => {
		for (const value of [undefined, null, 7, 'x', []]) {
			expect(checkContract(value).isErr()).to.equal(true);
		}
	});
});
