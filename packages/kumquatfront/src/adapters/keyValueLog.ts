/**
 * Structured logging with `loglevel`: one line of key=value pairs per event.
 */
import * as loglevelModule from 'loglevel';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as boundedOutput from './boundedOutput.js';
import * as systemTime from './systemTime.js';

/** Log levels from the most to the least verbose. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

const PLAIN_VALUE = /^[A-Za-z0-9._:/@+-]+$/;

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats a log event.
 *
 * @param fields - fields of the event; undefined values are omitted
 * @returns the line without a line terminator
 * @example
 * ```ts
 * keyValueLog.format('info', 'drainStarted', { inFlight: 3 }); // level=info event=drainStarted inFlight=3
 * ```
 */
export function format(level: string, event: string, fields: ports.LogFields = {}): string {
  const pairs = Object.entries(fields).map(([key, value]) =>
    value === undefined ? '' : ` ${key}=${formatValue(value)}`,
  );
  return `level=${level} event=${event}${pairs.join('')}`;
}

let standardOutput: boundedOutput.BoundedOutput | undefined;

function writeLine(line: string, priority: boundedOutput.LinePriority): void {
  standardOutput ??= boundedOutput.toDescriptor(1, systemTime.clock, systemTime.scheduler);
  standardOutput.write(line, priority);
}

/** Lines of this process that are not written yet. */
export function held(): heldMemoryTypes.Held {
  return standardOutput?.held() ?? { bytes: 0, pieces: 0 };
}

/** Begins to write them; see {@link boundedOutput.BoundedOutput.flushNow}. */
export function flushNow(): void {
  standardOutput?.flushNow();
}

/**
 * Creates a log that writes to standard output without blocking and within the default bounds.
 *
 * @param name - name of the process, included in every line
 * @param level - the minimum level that is written
 * @example
 * ```ts
 * const log = keyValueLog.create('entry-1', 'info');
 * log.info('started', { port: 8080 });
 * ```
 */
export function create(name: string, level: LogLevel): ports.Log {
  const logger = loglevelModule.default.getLogger(name);
  logger.methodFactory = (methodName) => (event: string, fields: ports.LogFields) => {
    const line = format(methodName, event, fields);
    const priority = methodName === 'warn' || methodName === 'error' ? 'important' : 'ordinary';
    writeLine(`time=${new Date().toISOString()} process=${name} ${line}`, priority);
  };
  logger.setLevel(level, false);
  return {
    debug: (event, fields) => {
      logger.debug(event, fields);
    },
    info: (event, fields) => {
      logger.info(event, fields);
    },
    warn: (event, fields) => {
      logger.warn(event, fields);
    },
    error: (event, fields) => {
      logger.error(event, fields);
    },
  };
}
