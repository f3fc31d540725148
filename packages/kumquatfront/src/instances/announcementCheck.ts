/**
 * What the fields of an announcement may hold. Each of them ends up in request headers, connections, lists or logs of
 * every process, so a value that one of these cannot hold is rejected where it arrives.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** The name is sent to the upstream in a header, and is a segment of a path. */
const NAME = /^[\x21-\x7e]{1,200}$/;

/** Control characters, line separators and surrogates without a pair. */
const UNREADABLE = /[\p{Cc}\p{Cs}\u2028\u2029]/u;

/** Maximum length of a text; it is repeated in every listing of the instance. */
const MAXIMUM_TEXT_LENGTH = 200;

const MAXIMUM_PORT = 65_535;

function isAddress(address: string): boolean {
  const port = Number(/^[\x21-\x7e]+:(\d{1,5})$/.exec(address)?.[1]);
  return port >= 1 && port <= MAXIMUM_PORT;
}

function isText(text: string): boolean {
  return text.length > 0 && text.length <= MAXIMUM_TEXT_LENGTH && !UNREADABLE.test(text);
}

/**
 * Checks the name of an instance.
 *
 * @param name - the name, decoded from a path or a message
 * @returns what is wrong with it; undefined if it can be used
 * @example
 * ```ts
 * announcementCheck.problemOfName('\u0001'); // 'the name is not 1 to 200 visible ASCII characters'
 * ```
 */
export function problemOfName(name: string): string | undefined {
  return NAME.test(name) ? undefined : 'the name is not 1 to 200 visible ASCII characters';
}

/**
 * Checks all texts of an announcement.
 *
 * @returns what is wrong with it, naming the field; undefined if it can be used
 * @example
 * ```ts
 * announcementCheck.problemOf({ ...announcement, address: '10.0.0.1:0' }); // 'the address is not of the form host:port'
 * ```
 */
export function problemOf(announcement: types.Announcement): string | undefined {
  const { name, address, service, dataCentre, softwareVersion = 'unknown' } = announcement;
  const texts = { service, 'data centre': dataCentre, 'software version': softwareVersion };
  const [unreadable] = Object.entries(texts).find(([, text]) => !isText(text)) ?? [];
  if (unreadable !== undefined) {
    return `the ${unreadable} is not 1 to ${MAXIMUM_TEXT_LENGTH} characters without control characters`;
  }
  return problemOfName(name) ?? (isAddress(address) ? undefined : 'the address is not of the form host:port');
}

/**
 * Leaves out the records of a peer that cannot be used. A peer that runs an older version of this software may have
 * accepted such an announcement.
 *
 * @param source - the peer, for the log
 * @returns the usable records
 * @example
 * ```ts
 * const records = announcementCheck.usableRecords(update.records, '10.0.0.5:7200', log);
 * ```
 */
export function usableRecords<Item extends types.Announcement>(
  records: readonly Item[],
  source: string,
  log: ports.Log,
): readonly Item[] {
  return records.filter((record) => {
    const problem = problemOf(record);
    if (problem !== undefined) {
      log.warn('instanceIgnored', { instance: record.identity, source, reason: problem });
    }
    return problem === undefined;
  });
}
