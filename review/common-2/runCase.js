/** Runs a case against one deployment: time limit, record, verdict and exit code. */
import * as path from 'node:path';
import * as url from 'node:url';

/** Less than the 120 s that a case may take. */
const TIME_LIMIT = 105_000;

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param moduleUrl - `import.meta.url` of the case
 * @param play - plays the case; resolves to whether the rule was broken, and a sentence on what was seen
 */
export async function runCase(moduleUrl, deployment, play) {
  const recordFile = path.join(path.dirname(url.fileURLToPath(moduleUrl)), 'record.txt');
  const finish = async (code, verdict) => {
    await deployment.stop(recordFile, verdict);
    console.log(verdict);
    process.exit(code);
  };
  const limit = setTimeout(() => {
    void finish(2, 'could not run: out of time');
  }, TIME_LIMIT);
  try {
    const { isBroken, verdict } = await play(deployment, process.env.TROUBLE ?? '1');
    clearTimeout(limit);
    await finish(isBroken ? 1 : 0, verdict);
  } catch (error) {
    await finish(2, `could not run: ${error.message}`);
  }
}
