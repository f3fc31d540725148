/**
 * Label selectors in the syntax operators know: `market=wa-perth,traffic in (balance,stock),!trial`.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** Labels of a request or of an upstream. */
export type Labels = Readonly<Record<string, string>>;

/** One condition on one label. */
export interface Requirement {
  readonly key: string;
  readonly operator: 'in' | 'notIn' | 'exists' | 'absent';
  readonly values: readonly string[];
}

/** All requirements must hold; an empty list matches everything. */
export type LabelSelector = readonly Requirement[];

const KEY = '[A-Za-z0-9][A-Za-z0-9._/-]*';
const VALUE = '[A-Za-z0-9][A-Za-z0-9._-]*';
const SET_FORM = new RegExp(`^(${KEY})\\s+(in|notin)\\s*\\(([^()]*)\\)$`);
const EQUALITY_FORM = new RegExp(`^(${KEY})\\s*(==|=|!=)\\s*(${VALUE})$`);
const EXISTS_FORM = new RegExp(`^(!?)\\s*(${KEY})$`);
const WHOLE_VALUE = new RegExp(`^${VALUE}$`);
const MAXIMUM_LENGTH = 1024;

function splitTerms(text: string): string[] {
  const terms: string[] = [];
  let depth = 0;
  let current = '';
  for (const character of text) {
    if (character === ',' && depth === 0) {
      terms.push(current.trim());
      current = '';
      continue;
    }
    depth += character === '(' ? 1 : 0;
    depth -= character === ')' ? 1 : 0;
    current += character;
  }
  terms.push(current.trim());
  return terms;
}

function parseTerm(term: string): Requirement | undefined {
  const equality = EQUALITY_FORM.exec(term);
  if (equality !== null) {
    const [, key = '', sign = '', value = ''] = equality;
    return { key, operator: sign === '!=' ? 'notIn' : 'in', values: [value] };
  }
  const set = SET_FORM.exec(term);
  if (set !== null) {
    const [, key = '', word = '', list = ''] = set;
    const values = list.split(',').map((value) => value.trim());
    const sound = values.every((value) => WHOLE_VALUE.test(value));
    return sound ? { key, operator: word === 'in' ? 'in' : 'notIn', values } : undefined;
  }
  const exists = EXISTS_FORM.exec(term);
  if (exists !== null) {
    const [, bang = '', key = ''] = exists;
    return { key, operator: bang === '!' ? 'absent' : 'exists', values: [] };
  }
  return undefined;
}

/**
 * Parses a label selector.
 *
 * @param text - the selector; an empty text matches everything
 * @returns the requirements, or a `badInput` failure that names the term at fault
 * @example
 * ```ts
 * labelSelector.parse('market=wa-perth,traffic in (balance,stock)');
 * ```
 */
export function parse(text: string): results.Result<LabelSelector, failures.Failure> {
  if (text.length > MAXIMUM_LENGTH) {
    const remedy = `Shorten it to ${MAXIMUM_LENGTH} characters or split it into several selectors.`;
    return results.Err(failures.create('badInput', 'The selector is too long.', remedy));
  }
  const requirements: Requirement[] = [];
  for (const term of text.trim() === '' ? [] : splitTerms(text)) {
    const requirement = parseTerm(term);
    if (requirement === undefined) {
      const remedy =
        'Write key=value, key!=value, key in (a,b), key notin (a,b), key or !key, separated by commas.';
      return results.Err(
        failures.create('badInput', `The selector term "${term}" is not understood.`, remedy),
      );
    }
    requirements.push(requirement);
  }
  return results.Ok(requirements);
}

function holds(requirement: Requirement, labels: Labels): boolean {
  const value = Object.hasOwn(labels, requirement.key) ? labels[requirement.key] : undefined;
  switch (requirement.operator) {
    case 'in':
      return value !== undefined && requirement.values.includes(value);
    case 'notIn':
      return value === undefined || !requirement.values.includes(value);
    case 'exists':
      return value !== undefined;
    case 'absent':
      return value === undefined;
  }
}

/**
 * Tells whether labels satisfy a selector.
 *
 * @param selector - a parsed selector
 * @param labels - the labels
 * @returns true when every requirement holds
 * @example
 * ```ts
 * labelSelector.matches(selector, { market: 'wa-perth', traffic: 'balance' });
 * ```
 */
export function matches(selector: LabelSelector, labels: Labels): boolean {
  return selector.every((requirement) => holds(requirement, labels));
}

function candidatesOf(requirements: readonly Requirement[]): (string | undefined)[] {
  const named = requirements.flatMap((requirement) => requirement.values);
  // Beside the values that are named, one value that nobody names and the missing label stand for the rest.
  return [...named, '\u0000other', undefined];
}

/**
 * Tells whether some labels satisfy both selectors. Requirements on different keys are independent, so it
 * is enough to try, for each key, the values that either selector names, one other value, and no label.
 *
 * @param left - a parsed selector
 * @param right - another
 * @returns true when they can match the same request
 * @example
 * ```ts
 * labelSelector.overlap(balances, urgentCalls);
 * ```
 */
export function overlap(left: LabelSelector, right: LabelSelector): boolean {
  const all = [...left, ...right];
  const keys = new Set(all.map((requirement) => requirement.key));
  return [...keys].every((key) => {
    const onKey = all.filter((requirement) => requirement.key === key);
    return candidatesOf(onKey).some((value) => {
      const labels: Labels = value === undefined ? {} : { [key]: value };
      return onKey.every((requirement) => holds(requirement, labels));
    });
  });
}
