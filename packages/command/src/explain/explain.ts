/**
 * `explain REQUEST LOGFILE...`: why a request ended as it did, from the logs of many processes.
 */
import * as kumquatfront from 'kumquatfront';

import type * as commandRunner from '../commandRunner.js';
import * as inputFile from '../inputFile.js';
import * as cause from './cause.js';
import type * as logLine from './logLine.js';
import * as requestStory from './requestStory.js';

function rowOf(line: logLine.LogLine): readonly string[] {
  const { request, ...fields } = line.fields;
  const facts = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  return [line.time, line.process, request === undefined ? `(${line.event})` : line.event, facts.join(' ')];
}

/**
 * Explains one request.
 *
 * @param request - its identity, as in `request=` of the logs
 * @param files - logs of entries and control
 * @returns the cause and the lines behind it; `notFound` where no log names the request
 * @example
 * ```ts
 * explain.run('9c41d07be2a35f68', ['entry-1.log', 'control-1.log']);
 * ```
 */
export function run(
  request: string,
  files: readonly string[],
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  return inputFile.readAll(files).andThen((texts) => tell(request, texts));
}

function tell(
  request: string,
  texts: readonly string[],
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  const story = requestStory.collect(request, texts);
  if (story.lines.length === 0) {
    const remedy =
      'Give the logs of all entries of that time, and the identity of one attempt of the caller.';
    const message = `No line of these logs names request ${request}.`;
    return kumquatfront.results.Err(kumquatfront.failures.create('notFound', message, remedy));
  }
  const sentence = cause.of(story);
  const note = story.leftOut > 0 ? [[`${story.leftOut} lines were left out by its processes.`]] : [];
  return kumquatfront.results.Ok({
    rows: [[sentence], ...note, ['TIME', 'PROCESS', 'EVENT', 'FACTS'], ...story.lines.map(rowOf)],
    value: { ...story, cause: sentence },
  });
}
