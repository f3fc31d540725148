#!/usr/bin/env node
/**
 * Entry point of the `kumquatfront` command-line tool for operators.
 */
import * as yargs from 'yargs';

import * as accountCommands from './accountCommands.js';
import * as commandRunner from './commandRunner.js';
import * as configurationCommands from './configurationCommands.js';
import * as explain from './explain/explain.js';
import * as ledger from './ledger/ledger.js';
import * as localCommands from './localCommands.js';
import * as systemCommands from './systemCommands.js';

await yargs
  .default(process.argv.slice(2))
  .scriptName('kumquatfront')
  .usage(
    '$0 <command>\n\nSet the control addresses with --control or KUMQUATFRONT_CONTROL, the operator key with KUMQUATFRONT_OPERATOR_KEY.',
  )
  .option('control', {
    type: 'string',
    describe: 'Operator addresses of the control replicas, separated by commas',
    default: process.env.KUMQUATFRONT_CONTROL ?? '',
    global: true,
  })
  .option('output', {
    alias: 'o',
    choices: ['table', 'json'] as const,
    default: 'table' as const,
    global: true,
  })
  .command(
    'apply',
    'Apply a configuration file',
    (builder) =>
      builder.option('file', {
        alias: 'f',
        type: 'string',
        demandOption: true,
        describe: 'Configuration file',
      }),
    (parsed) => commandRunner.run(parsed, (context) => configurationCommands.apply(context, parsed.file)),
  )
  .command(
    'diff',
    'Show what applying a configuration file would change',
    (builder) =>
      builder.option('file', {
        alias: 'f',
        type: 'string',
        demandOption: true,
        describe: 'Configuration file',
      }),
    (parsed) => commandRunner.run(parsed, (context) => configurationCommands.diff(context, parsed.file)),
  )
  .command(
    'get <kind> [name]',
    'Show configured objects',
    (builder) =>
      builder
        .positional('kind', { type: 'string', demandOption: true })
        .positional('name', { type: 'string' }),
    (parsed) =>
      commandRunner.run(parsed, (context) => configurationCommands.get(context, parsed.kind, parsed.name)),
  )
  .command(
    'delete <kind> <name>',
    'Delete a configured object',
    (builder) =>
      builder
        .positional('kind', { type: 'string', demandOption: true })
        .positional('name', { type: 'string', demandOption: true }),
    (parsed) =>
      commandRunner.run(parsed, (context) => configurationCommands.remove(context, parsed.kind, parsed.name)),
  )
  .command(
    'status',
    'Show control replicas, entries and the configuration version in force at each entry',
    (builder) => builder,
    (parsed) => commandRunner.run(parsed, systemCommands.status),
  )
  .command(
    'accounts',
    'Show share, use, debt and refusals of each client account that uses or waits for engines',
    (builder) => builder,
    (parsed) => commandRunner.run(parsed, accountCommands.accounts),
  )
  .command(
    'watch',
    'Show the status repeatedly until interrupted',
    (builder) =>
      builder.option('every', {
        type: 'number',
        default: 2_000,
        describe: 'Refresh interval in milliseconds',
      }),
    (parsed) => commandRunner.run(parsed, (context) => systemCommands.watch(context, parsed.every)),
  )
  .command(
    'addresses',
    'Show the addresses that an entry publishes to callers',
    (builder) =>
      builder.option('entry', {
        type: 'string',
        demandOption: true,
        describe: 'URL of any entry: http://ip:port',
      }),
    (parsed) => commandRunner.run(parsed, (context) => systemCommands.addresses(context, parsed.entry)),
  )
  .command(
    'drain <entry>',
    'Remove an entry from the address list and stop it once its requests have finished',
    (builder) =>
      builder.positional('entry', { type: 'string', demandOption: true, describe: 'Name of the entry' }),
    (parsed) => commandRunner.run(parsed, (context) => systemCommands.drain(context, parsed.entry)),
  )
  .command(
    'evacuate <dataCentre>',
    'Send no new work to the upstreams of a data centre until it is restored',
    (builder) => builder.positional('dataCentre', { type: 'string', demandOption: true }),
    (parsed) =>
      commandRunner.run(parsed, (context) =>
        systemCommands.changeEvacuation(context, 'evacuate', parsed.dataCentre),
      ),
  )
  .command(
    'restore <dataCentre>',
    'Resume sending work to the upstreams of an evacuated data centre',
    (builder) => builder.positional('dataCentre', { type: 'string', demandOption: true }),
    (parsed) =>
      commandRunner.run(parsed, (context) =>
        systemCommands.changeEvacuation(context, 'restore', parsed.dataCentre),
      ),
  )
  .command(
    'order <upstream> <action> <target>',
    'Order an upstream to load a model or an adapter, or to change its role',
    (builder) =>
      builder
        .positional('upstream', { type: 'string', demandOption: true })
        .positional('action', {
          choices: ['loadModel', 'loadAdapter', 'changeRole'] as const,
          demandOption: true,
        })
        .positional('target', { type: 'string', demandOption: true }),
    (parsed) =>
      commandRunner.run(parsed, (context) =>
        systemCommands.order(context, parsed.upstream, parsed.action, parsed.target),
      ),
  )
  .command('report', 'Reports', (builder) =>
    builder
      .command(
        'burn',
        'Show how fast the error budgets of the objectives burn',
        (inner) =>
          inner.option('html', { type: 'string', describe: 'Write an HTML page with plots to this file' }),
        (parsed) => commandRunner.run(parsed, (context) => systemCommands.burn(context, parsed.html)),
      )
      .demandCommand(1, 'Specify a report: burn.'),
  )
  .command('check', 'Checks', (builder) =>
    builder
      .command(
        'settings <file>',
        'Check a settings file of an entry or a control replica',
        (inner) => inner.positional('file', { type: 'string', demandOption: true }),
        (parsed) => {
          commandRunner.runWithoutControl(parsed, () => localCommands.checkSettings(parsed.file));
        },
      )
      .command(
        'configuration <file>',
        'Check a configuration file',
        (inner) => inner.positional('file', { type: 'string', demandOption: true }),
        (parsed) => {
          commandRunner.runWithoutControl(parsed, () => localCommands.checkConfiguration(parsed.file));
        },
      )
      .demandCommand(1, 'Specify what to check: settings or configuration.'),
  )
  .command(
    'hash <key>',
    'Show the hash that identifies a key in the configuration',
    (builder) => builder.positional('key', { type: 'string', demandOption: true }),
    (parsed) => {
      commandRunner.runWithoutControl(parsed, () => localCommands.hash(parsed.key));
    },
  )
  .command(
    'explain <request> <logs..>',
    'Explain how a request ended, from the logs of entries and control replicas',
    (builder) =>
      builder
        .positional('request', { type: 'string', demandOption: true, describe: 'Request id of the attempt' })
        .positional('logs', { type: 'string', array: true, demandOption: true, describe: 'Log files' }),
    (parsed) => {
      commandRunner.runWithoutControl(parsed, () => explain.run(parsed.request, parsed.logs));
    },
  )
  .command(
    'ledger <logs..>',
    'Count requests by how they ended, from the logs of entries and control replicas',
    (builder) =>
      builder
        .positional('logs', { type: 'string', array: true, demandOption: true, describe: 'Log files' })
        .option('first-event', {
          type: 'number',
          default: 1_800,
          describe: 'Streams whose first event takes longer count as late, in milliseconds',
        })
        .option('pause', {
          type: 'number',
          default: 180,
          describe: 'Streams with a longer pause between two events count as late, in milliseconds',
        }),
    (parsed) => {
      const thresholds = { firstEvent: parsed.firstEvent, pause: parsed.pause };
      commandRunner.runWithoutControl(parsed, () => ledger.run(parsed.logs, thresholds));
    },
  )
  .completion('completion', 'Print a completion script for the shell')
  .demandCommand(1, 'Specify a command; --help lists them.')
  .strict()
  .fail((message, error: Error | undefined) => {
    process.stderr.write(`${error?.message ?? message}\n`);
    process.exit(commandRunner.exitCodes.usage);
  })
  .parseAsync();
