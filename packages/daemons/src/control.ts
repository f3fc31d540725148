#!/usr/bin/env node
/**
 * Entry point of `kumquatfront-control --settings FILE`, which runs a control replica until it receives a signal.
 */
import * as kumquatfront from 'kumquatfront';

import * as controlDaemon from './controlDaemon.js';
import * as settingsFile from './settingsFile.js';

const settings = settingsFile.load('kumquatfront-control', kumquatfront.settingsLoader.parseControlSettings);
const started = controlDaemon.start(settings, (reason) => {
  const remedy =
    'Check the disk; restart the process when the disk is healthy, or empty the folder to join as a new member.';
  settingsFile.exitWithFailure(
    kumquatfront.failures.create('corrupt', `Access to the data folder failed: ${reason}.`, remedy),
  );
});
if (started.err) {
  settingsFile.exitWithFailure(started.val);
} else {
  kumquatfront.crashLog.install(started.val.log);
  const stop = (): void => {
    started.val.stop(() => {
      process.exit(0);
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
