/**
 * Options of Node.js that a deploy file states for the processes of a role.
 */

/** Role of a process. */
export type Role = 'entry' | 'control';

/**
 * Returns the options of the command that runs a role.
 *
 * @param deployFile - content of `deploy/system.toml`
 * @throws Error if the file states no command for the role
 * @example
 * ```ts
 * deployedOptions.of('[roles.entry]\nrun = "node --max-old-space-size=90 program.cjs"', 'entry'); // ['--max-old-space-size=90']
 * ```
 */
export function of(deployFile: string, role: Role): readonly string[] {
  const [, section = ''] = deployFile.split(`[roles.${role}]`);
  const [ownLines = ''] = section.split(/^\[/m);
  const [, command] = /^run\s*=\s*"node\s+([^"]*)"/m.exec(ownLines) ?? [];
  if (command === undefined) {
    throw new Error(`The deploy file states no command for the role ${role}.`);
  }
  return command.split(/\s+/).filter((word) => word.startsWith('--'));
}
