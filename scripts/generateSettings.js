/**
 * Generates the settings types, the embedded schema and docs/settings.md from the JSON schema. The results are committed,
 * so that a build does not run the generator.
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

/** Formats objects without nested objects on one line. */
function inlineLeaves(text) {
  return text.replace(/\{\s+([^{}]*?)\s+\}/g, (_whole, inner) => `{ ${inner.replace(/\s+/g, ' ')} }`);
}

const schema = inlineLeaves(JSON.stringify(JSON.parse(fs.readFileSync(SOURCE, 'utf8')), null, 2));
fs.writeFileSync(
  SCHEMA_TARGET,
  `/**\n * Generated from settings.schema.json by \`npm run generate\`; change the schema instead.\n */\n
/** JSON schema of the settings. */\nexport const settingsSchema = ${schema};\n`,
);

/** Table rows of docs/settings.md for one object of the schema. */
function rowsOf(definition, definitions, prefix) {
  return Object.entries(definition.properties).flatMap(([key, property]) => {
    const name = prefix === '' ? key : `${prefix}.${key}`;
    if (property.properties !== undefined) {
      return rowsOf(property, definitions, name);
    }
    const reference = property.$ref?.split('/').at(-1);
    if (definitions[reference]?.properties !== undefined) {
      return rowsOf(definitions[reference], definitions, name);
    }
    const needed = definition.required?.includes(key) ? 'yes' : '';
    const type = reference ?? (property.type === 'array' ? 'list' : (property.type ?? 'one of several'));
    return [`| \`${name}\` | ${type} | ${needed} | ${property.description ?? ''} |`];
  });
}

const { definitions } = JSON.parse(fs.readFileSync(SOURCE, 'utf8'));
const head = '| Key | Type | Needed | Meaning |\n| --- | --- | --- | --- |\n';
fs.writeFileSync(
  'docs/settings.md',
  `# Settings\n\nGenerated from the schema by \`npm run generate\`. One JSON file for each process; times are milliseconds, addresses
\`ip:port\`. Defaults are in packages/kumquatfront/src/settings/defaultConfig.ts. An unknown key is an error.\n
## An entry, under \`entry\`\n\n${head}${rowsOf(definitions.EntryFile, definitions, '').join('\n')}\n
## A control replica, under \`control\`\n\n${head}${rowsOf(definitions.ControlFile, definitions, '').join('\n')}\n`,
);
