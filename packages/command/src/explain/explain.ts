/**
 * `explain REQUEST LOGFILE...`: explains how a request ended, from the logs of several processes.
 */
import * as kumquatfront from 'kumquatfront';

import type * as commandRunner from '../commandRunner.js';
import * as inputFile from '../inputFile.js';
import * as cause from './cause.js';
import type * as logLine from './logLine.js';
import * as requestTimeline from './requestTimeline.js';

function toRow(line: logLine.LogLine): readonly string[] {
  const { request, ...fields } = line.fields;
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  return [line.time, line.process, request === undefined ? `(${line.event})` : line.event, pairs.join(' ')];
}

/**
 * Explains one request.
 *
 * @param request - request id, as in the `request` field of the logs
 * @param files - paths of the logs of entries and control replicas
 * @returns the explanation and the log lines it is based on, or `notFound` if no log line contains the request id
 * @example
 * ```ts
 * explain.run('9c41d07be2a35f68', ['entry-1.log', 'control-1.log']);
 * ```
 */
export function run(
  request: string,
  files: readonly string[],
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  return inputFile.readAll(files).andThen((texts) => explainFromLogs(request, texts));
}

function explainFromLogs(
  request: string,
  texts: readonly string[],
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  const timeline = requestTimeline.collect(request, texts);
  if (timeline.lines.length === 0) {
    const remedy =
      'Give the logs of all entries for that time, and the request id of one attempt of the caller.';
    const message = `No line of these logs contains request ${request}.`;
    return kumquatfront.results.Err(kumquatfront.failures.create('notFound', message, remedy));
  }
  const explanation = cause.describe(timeline);
  const omittedLinesNote =
    timeline.leftOut > 0 ? [[`${timeline.leftOut} log lines were omitted by its processes.`]] : [];
  return kumquatfront.results.Ok({
    rows: [
      [explanation],
      ...omittedLinesNote,
      ['TIME', 'PROCESS', 'EVENT', 'FIELDS'],
      ...timeline.lines.map(toRow),
    ],
    value: { ...timeline, cause: explanation },
  });
}
