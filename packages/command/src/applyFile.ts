/**
 * Applies a configuration file: creates missing objects, changes those that differ and leaves equal ones unchanged.
 */
import * as kumquatfront from 'kumquatfront';

import type * as operatorClient from './operatorClient.js';

/** Result of applying one object of the file. */
export interface AppliedObject {
  readonly object: string;
  readonly action: 'created' | 'changed' | 'unchanged';
  readonly version: number;
}

/** Kinds in dependency order: a kind refers only to kinds before it. */
const APPLY_ORDER: readonly kumquatfront.configurationTypes.ConfigurationKind[] = [
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
  const parsed = kumquatfront.httpMessages.parseObject(text);
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
  drafts.sort((left, right) => APPLY_ORDER.indexOf(left.kind) - APPLY_ORDER.indexOf(right.kind));
  return kumquatfront.results.Ok(drafts);
}

/**
 * Applies drafts one after another; stops at the first that control refuses.
 *
 * @param drafts - the parsed objects of the file
 * @returns the result for each object, or the failure of the first that was refused
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

/** Action that applying one object would take, and the version it would replace. */
export interface PlannedObject {
  readonly object: string;
  readonly action: AppliedObject['action'];
  /** Version that the change would replace; 0 for a new object. */
  readonly onVersion: number;
}

/**
 * Compares drafts with the stored objects without changing anything.
 *
 * @param drafts - the parsed objects of the file
 * @returns the action that applying would take for each object
 * @example
 * ```ts
 * const planned = await applyFile.plan(client, drafts);
 * ```
 */
export async function plan(
  client: operatorClient.OperatorClient,
  drafts: readonly kumquatfront.configurationTypes.ConfigurationDraft[],
): Promise<kumquatfront.results.Result<readonly PlannedObject[], kumquatfront.failures.Failure>> {
  const planned: PlannedObject[] = [];
  for (const draft of drafts) {
    const result = await planOne(client, draft);
    if (result.err) {
      return result;
    }
    planned.push(result.val);
  }
  return kumquatfront.results.Ok(planned);
}

async function planOne(
  client: operatorClient.OperatorClient,
  draft: kumquatfront.configurationTypes.ConfigurationDraft,
): Promise<kumquatfront.results.Result<PlannedObject, kumquatfront.failures.Failure>> {
  const listed = await client.get(draft.kind);
  return listed.map((objects) => {
    const current = objects.find((item) => item.name === draft.name);
    const { stringify } = kumquatfront.canonicalJson;
    const equal = current !== undefined && stringify(current.body) === stringify(draft.body);
    const changed = current === undefined ? 'created' : 'changed';
    const object = `${draft.kind}/${draft.name}`;
    return { object, action: equal ? 'unchanged' : changed, onVersion: current?.version ?? 0 };
  });
}

async function applyOne(
  client: operatorClient.OperatorClient,
  draft: kumquatfront.configurationTypes.ConfigurationDraft,
): Promise<kumquatfront.results.Result<AppliedObject, kumquatfront.failures.Failure>> {
  const planned = await planOne(client, draft);
  if (planned.err) {
    return planned;
  }
  const { object, action, onVersion } = planned.val;
  if (action === 'unchanged') {
    return kumquatfront.results.Ok({ object, action, version: onVersion });
  }
  const result = await client.put(draft, onVersion);
  return result.map((version) => ({ object, action, version }));
}
