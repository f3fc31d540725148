/**
 * Format of the log file: records that consist of a length, a checksum and JSON text. A torn record at the end results
 * from a crash during a write and is discarded; an invalid record followed by a valid one means corruption.
 */
import * as zlib from 'node:zlib';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as types from './types.js';

const HEADER_LENGTH = 8;

/**
 * Encodes one record.
 *
 * @param record - the record
 * @returns length (4 bytes), CRC-32 (4 bytes) and JSON text
 * @example
 * ```ts
 * disk.append('log', logFile.encode({ type: 'truncate', fromIndex: 7 }));
 * ```
 */
export function encode(record: types.DiskRecord): Uint8Array {
  const body = Buffer.from(JSON.stringify(record), 'utf8');
  const header = Buffer.alloc(HEADER_LENGTH);
  header.writeUInt32LE(body.length, 0);
  header.writeUInt32LE(zlib.crc32(body), 4);
  return Buffer.concat([header, body]);
}

/** Records of a log file, and the length of its valid part in bytes. */
export interface DecodedLog {
  readonly records: readonly types.DiskRecord[];
  readonly validLength: number;
}

function readRecord(buffer: Buffer, offset: number): { record: types.DiskRecord; end: number } | undefined {
  if (offset + HEADER_LENGTH > buffer.length) {
    return undefined;
  }
  const length = buffer.readUInt32LE(offset);
  const end = offset + HEADER_LENGTH + length;
  if (length === 0 || end > buffer.length) {
    return undefined;
  }
  const body = buffer.subarray(offset + HEADER_LENGTH, end);
  if (zlib.crc32(body) !== buffer.readUInt32LE(offset + 4)) {
    return undefined;
  }
  return { record: JSON.parse(body.toString('utf8')) as types.DiskRecord, end };
}

function hasValidRecordAfter(buffer: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_LENGTH < buffer.length; start += 1) {
    if (readRecord(buffer, start) !== undefined) {
      return true;
    }
  }
  return false;
}

function isTorn(buffer: Buffer, offset: number): boolean {
  // JSON text contains no zero bytes, so a file that ends in zeros was extended but not fully written.
  if (buffer[buffer.length - 1] === 0) {
    return true;
  }
  if (offset + HEADER_LENGTH > buffer.length) {
    return true;
  }
  const end = offset + HEADER_LENGTH + buffer.readUInt32LE(offset);
  return end > buffer.length && !hasValidRecordAfter(buffer, offset);
}

/**
 * Decodes a log file.
 *
 * A last record that is truncated or ends in zeros was being written during a crash and was never acknowledged, so it
 * is discarded. Any other unreadable record is corrupted data that was synced before: without it, acknowledged votes
 * and entries would be lost, so the file is rejected.
 *
 * @param bytes - content of the file
 * @returns the records, or a `corrupt` failure
 * @example
 * ```ts
 * const decoded = logFile.decode(disk.read('log') ?? new Uint8Array());
 * ```
 */
export function decode(bytes: Uint8Array): results.Result<DecodedLog, failures.Failure> {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const records: types.DiskRecord[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const next = readRecord(buffer, offset);
    if (next !== undefined) {
      records.push(next.record);
      offset = next.end;
      continue;
    }
    if (isTorn(buffer, offset)) {
      break;
    }
    return results.Err(
      failures.create(
        'corrupt',
        `The log file is damaged at byte ${offset}.`,
        'Empty the data folder and restart: the replica joins again under a new identity.',
      ),
    );
  }
  return results.Ok({ records, validLength: offset });
}
