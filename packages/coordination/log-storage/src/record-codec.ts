/**
 * Encodes and decodes the log file: a header with a magic number and the format version, then records, each with the
 * length and CRC-32 of its JSON text, followed by the text. An invalid record at the end of the file comes from an
 * interrupted write and was never acknowledged; an invalid record followed by a valid one means that the disk lost
 * acknowledged data.
 */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {LogStorageError, type LogRecord} from './log-storage.js';

const magic = 'HKTL';
export const formatVersion = 1;
export const headerBytes = 8;
const recordPrefixBytes = 8;

export type DecodedLog = {
	records: LogRecord[];
	/** Byte offset of each record. */
	offsets: number[];
	/** Length of the valid part of the file; any bytes after it belong to an interrupted write. */
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
	const frame = Buffer.allocUnsafe(recordPrefixBytes + text.length);
	frame.writeUInt32BE(text.length, 0);
	frame.writeUInt32BE(crc32(text), 4);
	text.copy(frame, recordPrefixBytes);
	return frame;
}

export function decodeLog(bytes: Buffer, file: string): Result<DecodedLog, LogStorageError> {
	const version = readVersion(bytes);
	if (version === undefined) {
		return ok({records: [], offsets: [], validBytes: 0});
	}

	if (version !== formatVersion) {
		return err(new LogStorageError('ERR_HICKORYTRACK_FORMAT_VERSION', `${file} has format version ${version}, but this release supports version ${formatVersion}`, {
			hint: 'Run a release that supports this format, or move the data folder away and restart this member so that it rejoins its peers.',
		}));
	}

	const decoded: DecodedLog = {records: [], offsets: [], validBytes: headerBytes};
	while (decoded.validBytes < bytes.length) {
		const record = readRecord(bytes, decoded.validBytes);
		if (!record) {
			return hasRecordAfter(bytes, decoded.validBytes + 1) ? err(createCorruptionError(file, decoded.validBytes)) : ok(decoded);
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
	if (offset + recordPrefixBytes > bytes.length) {
		return undefined;
	}

	const size = bytes.readUInt32BE(offset);
	const end = offset + recordPrefixBytes + size;
	if (size === 0 || end > bytes.length) {
		return undefined;
	}

	const text = bytes.subarray(offset + recordPrefixBytes, end);
	if (crc32(text) !== bytes.readUInt32BE(offset + 4)) {
		return undefined;
	}

	return {value: JSON.parse(text.toString('utf8')) as LogRecord, end};
}

function hasRecordAfter(bytes: Buffer, from: number): boolean {
	for (let offset = from; offset + recordPrefixBytes < bytes.length; offset++) {
		// The JSON text of a record begins with `{`; checking that byte first avoids computing most checksums.
		if (bytes[offset + recordPrefixBytes] === 0x7B && readRecord(bytes, offset)) {
			return true;
		}
	}

	return false;
}

function createCorruptionError(file: string, offset: number): LogStorageError {
	return new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} has an invalid record at byte ${offset} followed by valid records`, {
		hint: 'The disk lost acknowledged data. Move the data folder away and restart this member so that it rejoins its peers.',
	});
}
