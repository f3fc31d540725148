/**
 * What routing needs to know of a prompt: about how long it is, and how it begins.
 */
import * as crypto from 'node:crypto';

/** Facts of a prompt. */
export interface PromptFacts {
  /** Estimated tokens: four characters each. */
  readonly tokens: number;
  /** Digest of its first characters, as engines name cached prefixes; empty for a short prompt. */
  readonly prefix: string;
}

const CHARACTERS_PER_TOKEN = 4;
/** Length of a prefix that is worth caching. */
export const PREFIX_LENGTH = 256;

/**
 * Names the prefix of a prompt.
 *
 * @param text - the prompt
 * @returns 16 hexadecimal digits, or an empty text where the prompt is shorter than a prefix
 * @example
 * ```ts
 * promptFacts.prefixOf(prompt);
 * ```
 */
export function prefixOf(text: string): string {
  if (text.length < PREFIX_LENGTH) {
    return '';
  }
  return crypto.createHash('sha256').update(text.slice(0, PREFIX_LENGTH)).digest('hex').slice(0, 16);
}

function textOf(body: Readonly<Record<string, unknown>>): string | undefined {
  if (typeof body.prompt === 'string') {
    return body.prompt;
  }
  return Array.isArray(body.messages) ? JSON.stringify(body.messages) : undefined;
}

/**
 * Reads the facts from an OpenAI-style body.
 *
 * @param body - the parsed body
 * @returns the facts; undefined where there is neither `prompt` nor `messages`
 * @example
 * ```ts
 * promptFacts.read({ model: 'ledger', prompt: 'Reconcile these receipts' });
 * ```
 */
export function read(body: Readonly<Record<string, unknown>>): PromptFacts | undefined {
  const text = textOf(body);
  if (text === undefined) {
    return undefined;
  }
  return { tokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN), prefix: prefixOf(text) };
}
