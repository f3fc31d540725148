/**
 * Generates the typed settings from their schema; the result is committed, so a build needs no generator.
 */
import * as fs from 'node:fs';

import * as generator from 'json-schema-to-typescript';

const SOURCE = 'packages/kumquatfront/src/settings/settings.schema.json';
const SCHEMA_TARGET = 'packages/kumquatfront/src/settings/settingsSchema.ts';
const TARGET = 'packages/kumquatfront/src/settings/generatedSettings.ts';

const text = await generator.compileFromFile(SOURCE, {
  additionalProperties: false,
  bannerComment:
    '/**\n * Generated from settings.schema.json by `npm run generate`; change the schema instead.\n */',
  style: { singleQuote: true, printWidth: 110 },
});
fs.writeFileSync(TARGET, text);

const schema = JSON.stringify(JSON.parse(fs.readFileSync(SOURCE, 'utf8')), null, 2);
fs.writeFileSync(
  SCHEMA_TARGET,
  `/**\n * Generated from settings.schema.json by \`npm run generate\`; change the schema instead.\n */\n
/** JSON schema of the settings. */\nexport const settingsSchema = ${schema};\n`,
);
