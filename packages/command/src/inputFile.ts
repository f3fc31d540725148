/**
 * Reads the files that are passed to commands.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';

/**
 * Reads one text file.
 *
 * @param file - path of the file
 * @returns the text of the file, or a `notFound` failure
 * @example
 * ```ts
 * inputFile.read('market.json').andThen(applyFile.parse);
 * ```
 */
export function read(file: string): kumquatfront.results.Result<string, kumquatfront.failures.Failure> {
  if (!fs.existsSync(file)) {
    const remedy = 'Give the path of an existing file.';
    return kumquatfront.results.Err(
      kumquatfront.failures.create('notFound', `File ${file} does not exist.`, remedy),
    );
  }
  return kumquatfront.results.Ok(fs.readFileSync(file, 'utf8'));
}

/**
 * Reads several text files.
 *
 * @param files - paths of the files
 * @returns the texts in the order of the paths, or the failure of the first file that cannot be read
 * @example
 * ```ts
 * inputFile.readAll(['entry-1.log', 'control-1.log']);
 * ```
 */
export function readAll(
  files: readonly string[],
): kumquatfront.results.Result<readonly string[], kumquatfront.failures.Failure> {
  const texts: string[] = [];
  for (const file of files) {
    const text = read(file);
    if (text.err) {
      return kumquatfront.results.Err(text.val);
    }
    texts.push(text.val);
  }
  return kumquatfront.results.Ok(texts);
}
