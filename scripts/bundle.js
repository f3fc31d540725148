/**
 * Bundles the platform's program into one file and stores its compiled code next to it, to shorten the start of a
 * process.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

/**
 * Resolves `ts-results` to its ES modules: the bundler cannot follow the requires of its CommonJS files. The default
 * export is the one that Node.js gives to a CommonJS package.
 */
const tsResultsPlugin = {
  name: 'ts-results',
  setup(build) {
    const folder = path.resolve('node_modules/ts-results/esm');
    build.onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'default-export' }));
    build.onLoad({ filter: /.*/, namespace: 'default-export' }, () => ({
      contents: `import * as all from './index.js'; export default all;`,
      resolveDir: folder,
    }));
  },
};

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  outfile: 'target/program.cjs',
  alias: { kumquatfront: './packages/kumquatfront/src/index.ts' },
  plugins: [tsResultsPlugin],
  legalComments: 'none',
});

await esbuild.build({
  entryPoints: ['platform/src/loader.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'target/kumquatfront.cjs',
  legalComments: 'none',
});

childProcess.execFileSync(process.execPath, ['target/kumquatfront.cjs', 'cache'], { stdio: 'inherit' });
