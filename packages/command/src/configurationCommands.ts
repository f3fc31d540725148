/**
 * Commands that read and change the configuration.
 */
import * as applyFile from './applyFile.js';
import * as commandRunner from './commandRunner.js';
import * as inputFile from './inputFile.js';

/**
 * `apply -f FILE`: applies a configuration file.
 *
 * @param file - the configuration file
 * @returns the action taken for each object
 * @example
 * ```ts
 * await configurationCommands.apply(context, 'market.json');
 * ```
 */
export async function apply(
  context: commandRunner.CommandContext,
  file: string,
): commandRunner.CommandResult {
  const drafts = inputFile.read(file).andThen(applyFile.parse);
  if (drafts.err) {
    return drafts;
  }
  const applied = await applyFile.apply(context.client, drafts.val);
  return applied.map((objects) => ({
    rows: [
      ['OBJECT', 'ACTION', 'VERSION'],
      ...objects.map((item) => [item.object, item.action, String(item.version)]),
    ],
    value: objects,
  }));
}

/**
 * `diff -f FILE`: shows what `apply` would do; exits with code 1 if any object differs.
 *
 * @param file - the configuration file
 * @returns the action that `apply` would take for each object
 * @example
 * ```ts
 * await configurationCommands.diff(context, 'market.json');
 * ```
 */
export async function diff(context: commandRunner.CommandContext, file: string): commandRunner.CommandResult {
  const drafts = inputFile.read(file).andThen(applyFile.parse);
  if (drafts.err) {
    return drafts;
  }
  const planned = await applyFile.plan(context.client, drafts.val);
  return planned.map((items) => {
    const differing = items.filter((item) => item.action !== 'unchanged');
    return {
      rows: [['OBJECT', 'WOULD BE'], ...items.map((item) => [item.object, item.action])],
      value: items,
      exitCode: differing.length === 0 ? commandRunner.exitCodes.done : commandRunner.exitCodes.refused,
    };
  });
}

/**
 * `get KIND [NAME]`: shows configured objects.
 *
 * @param kind - kind of object
 * @param name - name of the object; if undefined, all objects of the kind
 * @example
 * ```ts
 * await configurationCommands.get(context, 'market', undefined);
 * ```
 */
export async function get(
  context: commandRunner.CommandContext,
  kind: string,
  name: string | undefined,
): commandRunner.CommandResult {
  const found = await context.client.get(kind, name);
  return found.map((objects) => ({
    rows: [
      ['NAME', 'VERSION', 'BODY'],
      ...objects.map((object) => [object.name, String(object.version), JSON.stringify(object.body)]),
    ],
    value: objects,
  }));
}

/**
 * `delete KIND NAME`: deletes an object if it has not changed since it was read.
 *
 * @param name - name of the object
 * @returns the configuration version that the deletion created
 * @example
 * ```ts
 * await configurationCommands.remove(context, 'market', 'wa-perth');
 * ```
 */
export async function remove(
  context: commandRunner.CommandContext,
  kind: string,
  name: string,
): commandRunner.CommandResult {
  const found = await context.client.get(kind, name);
  if (found.err) {
    return found;
  }
  const deleted = await context.client.delete(kind, name, found.val[0]?.version ?? 0);
  return deleted.map((version) => ({
    rows: [
      ['OBJECT', 'ACTION', 'VERSION'],
      [`${kind}/${name}`, 'deleted', String(version)],
    ],
    value: { object: `${kind}/${name}`, version },
  }));
}
