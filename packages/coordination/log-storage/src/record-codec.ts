/**
 * The format of the log file: a header with a magic word and the format version, then records, each with its length, a
 * CRC-32 of its text, and its JSON text. A record that is cut short at the end of the file was never acknowledged; a
 * broken one with valid records behind it means that the disk lost acknowledged data.
 */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {LogStorageError, type LogRecord} from './log-storage.js';

const magic = 'HKTL';
export const formatVersion = 1;
export const headerBytes = 8;
const prefixBytes = 8;

export type DecodedLog = {
	records: LogRecord[];
	/** Offset in bytes of each record. */
	offsets: number[];
	/** Bytes that hold valid data; what follows is a torn tail. */
	validBytes: number;
};

export function encodeHeader(): Buffer {
	const header = Buffer.alloc(headerBytes);
	header.write(magic, 0, 'latin1');
	header.writeUInt32BE(formatVersion, 4);
	return header;
}

export function encodeRecord(record: LogRecord): Buffer {
	const text = Buffer.from(JSON.stringify(record));
	const frame = Buffer.allocUnsafe(prefixBytes + text.length);
	frame.writeUInt32BE(text.length, 0);
	frame.writeUInt32BE(crc32(text), 4);
	text.copy(frame, prefixBytes);
	return frame;
}

export function decodeLog(bytes: Buffer, file: string): Result<DecodedLog, LogStorageError> {
	const version = readVersion(bytes);
	if (version === undefined) {
		return ok({records: [], offsets: [], validBytes: 0});
	}

	if (version !== formatVersion) {
		return err(new LogStorageError('ERR_HICKORYTRACK_FORMAT_VERSION', `${file} has format version ${version}, this release reads version ${formatVersion}`, {
			hint: 'Run a release that knows this format, or start this member anew from its peers.',
		}));
	}

	const decoded: DecodedLog = {records: [], offsets: [], validBytes: headerBytes};
	while (decoded.validBytes < bytes.length) {
		const record = readRecord(bytes, decoded.validBytes);
		if (!record) {
			return hasRecordBehind(bytes, decoded.validBytes + 1) ? err(describeCorruption(file, decoded.validBytes)) : ok(decoded);
		}

		decoded.records.push(record.value);
		decoded.offsets.push(decoded.validBytes);
		decoded.validBytes = record.end;
	}

	return ok(decoded);
}

function readVersion(bytes: Buffer): number | undefined {
	if (bytes.length < headerBytes) {
		return undefined;
	}

	return bytes.toString('latin1', 0, 4) === magic ? bytes.readUInt32BE(4) : 0;
}

type ReadRecord = {
	value: LogRecord;
	end: number;
};

function readRecord(bytes: Buffer, offset: number): ReadRecord | undefined {
	if (offset + prefixBytes > bytes.length) {
		return undefined;
	}

	const size = bytes.readUInt32BE(offset);
	const end = offset + prefixBytes + size;
	if (size === 0 || end > bytes.length) {
		return undefined;
	}

	const text = bytes.subarray(offset + prefixBytes, end);
	if (crc32(text) !== bytes.readUInt32BE(offset + 4)) {
		return undefined;
	}

	return {value: JSON.parse(text.toString('utf8')) as LogRecord, end};
}

function hasRecordBehind(bytes: Buffer, from: number): boolean {
	for (let offset = from; offset + prefixBytes < bytes.length; offset++) {
		// A record's text begins with a brace; this spares most checksums.
		if (bytes[offset + prefixBytes] === 0x7B && readRecord(bytes, offset)) {
			return true;
		}
	}

	return false;
}

function describeCorruption(file: string, offset: number): LogStorageError {
	return new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} holds a broken record at byte ${offset} with valid records behind it`, {
		hint: 'The disk lost acknowledged data. Move the data folder away and let this member rejoin from its peers.',
	});
}
