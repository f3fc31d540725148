#!/usr/bin/env node
/**
 * `kumquatfront-control --settings FILE`
 */
import * as kumquatfront from 'kumquatfront';

import * as controlDaemon from './controlDaemon.js';
import * as settingsFile from './settingsFile.js';

const settings = settingsFile.load('kumquatfront-control', kumquatfront.settingsLoader.readControl);
const started = controlDaemon.start(settings, (reason) => {
  const remedy = 'Check the disk; restart the process when it is sound, or empty the folder to join anew.';
  settingsFile.fail(kumquatfront.failures.create('corrupt', `The data folder failed: ${reason}.`, remedy));
});
if (started.err) {
  settingsFile.fail(started.val);
} else {
  const stop = (): void => {
    started.val.stop(() => {
      process.exit(0);
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
