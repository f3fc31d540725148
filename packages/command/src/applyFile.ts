/**
 * Applies a configuration file: what is missing is created, what differs is changed, what is equal is left.
 */
import * as kumquatfront from 'kumquatfront';

import type * as operatorClient from './operatorClient.js';

/** What became of one object of the file. */
export interface AppliedObject {
  readonly object: string;
  readonly action: 'created' | 'changed' | 'unchanged';
  readonly version: number;
}

/** Kinds in the order in which they refer to each other. */
const ORDER: readonly kumquatfront.configurationTypes.ConfigurationKind[] = [
  'limits',
  'objective',
  'market',
  'deployment',
  'clientAccount',
  'selector',
];

/**
 * Parses a configuration file.
 *
 * @param text - JSON text: `{ "objects": [{ "kind", "name", "body" }] }`
 * @returns the drafts in the order in which they can be applied, or a failure
 * @example
 * ```ts
 * const drafts = applyFile.parse(fs.readFileSync('market.json', 'utf8'));
 * ```
 */
export function parse(
  text: string,
): kumquatfront.results.Result<
  readonly kumquatfront.configurationTypes.ConfigurationDraft[],
  kumquatfront.failures.Failure
> {
  const parsed = kumquatfront.httpAnswers.parseObject(text);
  if (parsed.err) {
    return parsed;
  }
  const { objects } = parsed.val;
  if (!Array.isArray(objects)) {
    const remedy = 'Write { "objects": [ { "kind": ..., "name": ..., "body": ... } ] }.';
    return kumquatfront.results.Err(
      kumquatfront.failures.create('badInput', 'The file has no list "objects".', remedy),
    );
  }
  const drafts: kumquatfront.configurationTypes.ConfigurationDraft[] = [];
  for (const item of objects as readonly Partial<kumquatfront.configurationTypes.ConfigurationDraft>[]) {
    const draft = { kind: item.kind ?? 'market', name: item.name ?? '', body: item.body ?? null };
    const checked = kumquatfront.configurationValidation.checkShape(draft);
    if (checked.err) {
      return checked;
    }
    drafts.push(draft);
  }
  drafts.sort((left, right) => ORDER.indexOf(left.kind) - ORDER.indexOf(right.kind));
  return kumquatfront.results.Ok(drafts);
}

/**
 * Applies drafts one after another; stops at the first that is refused.
 *
 * @param client - the operators' client
 * @param drafts - what the file says
 * @returns what became of each, or the failure of the first that was refused
 * @example
 * ```ts
 * const applied = await applyFile.apply(client, drafts);
 * ```
 */
export async function apply(
  client: operatorClient.OperatorClient,
  drafts: readonly kumquatfront.configurationTypes.ConfigurationDraft[],
): Promise<kumquatfront.results.Result<readonly AppliedObject[], kumquatfront.failures.Failure>> {
  const applied: AppliedObject[] = [];
  for (const draft of drafts) {
    const result = await applyOne(client, draft);
    if (result.err) {
      return result;
    }
    applied.push(result.val);
  }
  return kumquatfront.results.Ok(applied);
}

async function applyOne(
  client: operatorClient.OperatorClient,
  draft: kumquatfront.configurationTypes.ConfigurationDraft,
): Promise<kumquatfront.results.Result<AppliedObject, kumquatfront.failures.Failure>> {
  const object = `${draft.kind}/${draft.name}`;
  const listed = await client.get(draft.kind);
  if (listed.err) {
    return listed;
  }
  const current = listed.val.find((item) => item.name === draft.name);
  const { canonicalJson } = kumquatfront;
  if (
    current !== undefined &&
    canonicalJson.stringify(current.body) === canonicalJson.stringify(draft.body)
  ) {
    return kumquatfront.results.Ok({ object, action: 'unchanged', version: current.version });
  }
  const result = await client.put(draft, current?.version ?? 0);
  return result.map((version) => ({
    object,
    action: current === undefined ? 'created' : 'changed',
    version,
  }));
}
