#!/usr/bin/env node
/**
 * Entry point of `kumquatfront-entry --settings FILE`, which runs an entry until a signal or a drain request stops it.
 */
import * as kumquatfront from 'kumquatfront';

import * as entryDaemon from './entryDaemon.js';
import * as settingsFile from './settingsFile.js';

const settings = settingsFile.load('kumquatfront-entry', kumquatfront.settingsLoader.parseEntrySettings);
const running = entryDaemon.start(settings, drain);
kumquatfront.crashLog.install(running.log);

function drain(): void {
  running.drain(() => {
    process.exit(0);
  });
}

process.once('SIGTERM', drain);
process.once('SIGINT', drain);
