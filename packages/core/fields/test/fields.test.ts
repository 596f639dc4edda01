import {expect} from 'chai';
import {FieldError, Fields} from '../src/fields.js';

const name = 'the document';
const read = (fields: unknown) => new Fields(fields, {name});

describe('fields', () => {
	it('are read from objects only', () => {
		for (const value of [undefined, null, [], 'text', 7, true]) {
			expect(() => read(value), String(value)).to.throw(FieldError, 'is not an object');
		}
	});

	it('have the type that is read', () => {
		const fields = read({
			text: 'x', number: 1.5, list: [{a: 1}], part: {b: 2}, empty: '', nothing: null, flag: true,
		});
		expect(fields.readString('text')).to.equal('x');
		expect(fields.readNumber('number')).to.equal(1.5);
		expect(fields.readFieldsList('list')[0]!.readNumber('a')).to.equal(1);
		expect(fields.readFields('part').readNumber('b')).to.equal(2);
		expect(fields.readOptionalString('empty')).to.equal(undefined);
		expect(fields.readOptionalString('nothing')).to.equal(undefined);
		expect(fields.readOptionalFields('missing')).to.equal(undefined);
		expect(fields.readOneOf('text', ['x', 'y'])).to.equal('x');
		expect(fields.readText('empty')).to.equal('');
		expect(read({texts: ['a', '']}).readTexts('texts')).to.deep.equal(['a', '']);
		expect(Fields.openTuple(['a', 5]).readNumber('1')).to.equal(5);
		for (const readOther of [() => fields.readString('number'), () => fields.readNumber('text'), () => fields.readList('part'), () => fields.readFields('list'), () => fields.readOneOf('text', ['y']), () => fields.readOptionalString('flag'), () => fields.readString('empty'), () => fields.readFieldsList('part'), () => fields.readText('number'), () => fields.readTexts('list'), () => Fields.openTuple({0: 'a'})]) {
			expect(readOther).to.throw(FieldError);
		}
	});

	// Guards against names such as "constructor", which every object has.
	it('are those of the document itself', () => {
		expect(read({}).get('constructor')).to.equal(undefined);
		expect(read({}).has('toString')).to.equal(false);
	});

	it('are numbers of their range, or the nearest one if the reader asks for it', () => {
		const outOfRange: string[] = [];
		const lenient = new Fields({
			low: -1, high: 1e308, broken: 2.5, endless: Number.POSITIVE_INFINITY,
		}, {
			name, onOutOfRange({message}) {
				outOfRange.push(message);
			},
		});
		expect(lenient.readNumber('low', {min: 0})).to.equal(0);
		expect(lenient.readNumber('high', {max: 10})).to.equal(10);
		expect(lenient.readNumber('broken', {isInteger: true})).to.equal(2);
		expect(lenient.readNumber('endless')).to.equal(Number.MAX_VALUE);
		expect(outOfRange).to.have.length(4);
		expect(() => read({low: -1}).readNumber('low', {min: 0})).to.throw(FieldError, '"low" of the document is -1');
		expect(() => read({low: Number.NaN}).readNumber('low')).to.throw(FieldError, 'missing or not a number');
	});

	it('may be missing where there is a default', () => {
		expect(read({}).readNumber('count', {defaultValue: 3})).to.equal(3);
		expect(read({}).readOptionalNumber('count')).to.equal(undefined);
		expect(() => read({}).readNumber('count')).to.throw(FieldError);
	});

	// Guards against -1e400, which JSON.parse reads as a number and nothing can be computed with.
	it('hold no infinite number, of either sign', () => {
		for (const text of ['1e400', '-1e400']) {
			const value: unknown = JSON.parse(`{"a":${text}}`);
			expect(() => read(value).readNumber('a'), text).to.throw(FieldError, 'not a number from');
			const nearest = new Fields(value, {name, onOutOfRange() {/* The nearest number counts. */}}).readNumber('a');
			expect(Math.abs(nearest), text).to.equal(Number.MAX_VALUE);
		}
	});
});
