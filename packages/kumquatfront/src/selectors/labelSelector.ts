/**
 * Label selectors with equality, set and existence terms: `market=wa-perth,traffic in (balance,stock),!trial`.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** Labels of a request or of an upstream. */
export type Labels = Readonly<Record<string, string>>;

/** A condition on a single label. */
export interface Requirement {
  readonly key: string;
  readonly operator: 'in' | 'notIn' | 'exists' | 'absent';
  readonly values: readonly string[];
}

/** A conjunction of requirements; an empty list matches all labels. */
export type LabelSelector = readonly Requirement[];

const KEY_SYNTAX = '[A-Za-z0-9][A-Za-z0-9._/-]*';
const VALUE_SYNTAX = '[A-Za-z0-9][A-Za-z0-9._-]*';
const SET_PATTERN = new RegExp(`^(${KEY_SYNTAX})\\s+(in|notin)\\s*\\(([^()]*)\\)$`);
const EQUALITY_PATTERN = new RegExp(`^(${KEY_SYNTAX})\\s*(==|=|!=)\\s*(${VALUE_SYNTAX})$`);
const EXISTENCE_PATTERN = new RegExp(`^(!?)\\s*(${KEY_SYNTAX})$`);
const VALUE_PATTERN = new RegExp(`^${VALUE_SYNTAX}$`);
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
  const equality = EQUALITY_PATTERN.exec(term);
  if (equality !== null) {
    const [, key = '', sign = '', value = ''] = equality;
    return { key, operator: sign === '!=' ? 'notIn' : 'in', values: [value] };
  }
  const set = SET_PATTERN.exec(term);
  if (set !== null) {
    const [, key = '', keyword = '', list = ''] = set;
    const values = list.split(',').map((value) => value.trim());
    const valid = values.every((value) => VALUE_PATTERN.test(value));
    return valid ? { key, operator: keyword === 'in' ? 'in' : 'notIn', values } : undefined;
  }
  const exists = EXISTENCE_PATTERN.exec(term);
  if (exists !== null) {
    const [, negation = '', key = ''] = exists;
    return { key, operator: negation === '!' ? 'absent' : 'exists', values: [] };
  }
  return undefined;
}

/**
 * Parses a label selector.
 *
 * @param text - the selector; an empty string matches all labels
 * @returns the requirements, or a `badInput` failure that names the invalid term
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

function isSatisfied(requirement: Requirement, labels: Labels): boolean {
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
 * Checks whether labels satisfy a selector.
 *
 * @param labels - labels of a request or of an upstream
 * @returns true if every requirement is satisfied
 * @example
 * ```ts
 * labelSelector.matches(selector, { market: 'wa-perth', traffic: 'balance' });
 * ```
 */
export function matches(selector: LabelSelector, labels: Labels): boolean {
  return selector.every((requirement) => isSatisfied(requirement, labels));
}

function candidateValues(requirements: readonly Requirement[]): (string | undefined)[] {
  const listedValues = requirements.flatMap((requirement) => requirement.values);
  // One value outside the list and the missing label represent all remaining cases.
  return [...listedValues, '\u0000other', undefined];
}

/**
 * Checks whether any set of labels satisfies both selectors. Requirements on different keys are independent,
 * so it is sufficient to test, for each key, the values listed in either selector, one unlisted value, and no
 * label.
 *
 * @param left - a parsed selector
 * @param right - another parsed selector
 * @returns true if both selectors can match the same request
 * @example
 * ```ts
 * labelSelector.overlaps(balances, urgentCalls);
 * ```
 */
export function overlaps(left: LabelSelector, right: LabelSelector): boolean {
  const all = [...left, ...right];
  const keys = new Set(all.map((requirement) => requirement.key));
  return [...keys].every((key) => {
    const onKey = all.filter((requirement) => requirement.key === key);
    return candidateValues(onKey).some((value) => {
      const labels: Labels = value === undefined ? {} : { [key]: value };
      return onKey.every((requirement) => isSatisfied(requirement, labels));
    });
  });
}
