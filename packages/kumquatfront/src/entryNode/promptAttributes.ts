/**
 * Attributes of a prompt that placement uses: its estimated length and a digest of its prefix.
 */
import * as crypto from 'node:crypto';

/** Attributes of a prompt. */
export interface PromptAttributes {
  /** Estimated number of tokens. */
  readonly tokens: number;
  /** Digest of the prefix, by which engines report cached prefixes; empty for a short prompt. */
  readonly prefix: string;
}

const CHARACTERS_PER_TOKEN = 4;
/** Length in characters of the prefix that is hashed. */
export const PREFIX_LENGTH = 256;

/**
 * Hashes the prefix of a prompt.
 *
 * @param text - the prompt
 * @returns 16 hexadecimal digits, or an empty string if the prompt is shorter than a prefix
 * @example
 * ```ts
 * promptAttributes.prefixOf(prompt);
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
 * Extracts the attributes from an OpenAI-style request body.
 *
 * @param body - the parsed body
 * @returns the attributes; undefined if there is neither `prompt` nor `messages`
 * @example
 * ```ts
 * promptAttributes.fromBody({ model: 'ledger', prompt: 'Reconcile these receipts' });
 * ```
 */
export function fromBody(body: Readonly<Record<string, unknown>>): PromptAttributes | undefined {
  const text = textOf(body);
  if (text === undefined) {
    return undefined;
  }
  return { tokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN), prefix: prefixOf(text) };
}
