/** Parses what an instance says of itself or of another one. */
import {Fields} from '@hickorytrack/fields';
import {parseSocketAddress} from '@hickorytrack/socket-address';
import type {PeerMember} from './peer-methods.js';

/** Throws a `FieldError` that names what can't be used. */
export function parsePeerMember(value: unknown): PeerMember {
	const fields = new Fields(value, {name: 'the member'});
	// An instance that does not listen has no address.
	const address = fields.get('address') === '' ? '' : parseSocketAddress(fields.get('address'));
	if (address === undefined) {
		throw new TypeError('"address" of the member is not an address to which a connection can be opened');
	}

	return {
		instance: fields.readString('instance'),
		roles: readStrings(fields, 'roles'),
		availabilityZone: fields.readOptionalString('availabilityZone') ?? '',
		address,
		incarnation: fields.readOptionalString('incarnation') ?? '',
		...(fields.has('features') && {features: readStrings(fields, 'features')}),
	};
}

function readStrings(fields: Fields, name: string): string[] {
	return fields.readList(name).filter(value => typeof value === 'string');
}
