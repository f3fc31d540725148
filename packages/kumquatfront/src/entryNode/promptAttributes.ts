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
  /** Digests of the messages before the last one, which other requests may share; none without messages. */
  readonly sharedParts: readonly string[];
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
  return digestOf(text.slice(0, PREFIX_LENGTH));
}

/** Bounds what is kept of one request's prompt. */
const MAXIMUM_PARTS = 64;

function digestOf(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, 16);
}

function sharedPartsOf({ messages }: Readonly<Record<string, unknown>>): readonly string[] {
  const shared = Array.isArray(messages) ? messages.slice(0, -1).slice(0, MAXIMUM_PARTS) : [];
  return [...new Set(shared.map((message) => digestOf(JSON.stringify(message))))];
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
  return {
    tokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    prefix: prefixOf(text),
    sharedParts: sharedPartsOf(body),
  };
}
