/**
 * Bundles the platform's program into one file, which starts several times as fast as some hundred modules,
 * and keeps its compiled code beside it, which saves a process most of the rest of its start.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

/**
 * `ts-results` is a CommonJS package whose files find each other in a way that a bundler cannot follow. Its
 * modules proper stand beside it; they are given the default export by which Node.js shows the package.
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
