/**
 * The data of one event of an engine: a chunk of an OpenAI-style answer, as far as the product reads it.
 */

/** One alternative of a chunk. */
export interface ChunkChoice {
  readonly text?: string | null;
  readonly delta?: { readonly content?: string | null } | null;
  readonly finish_reason?: string | null;
}

/** A chunk. */
export interface CompletionChunk {
  readonly id?: string;
  readonly model?: string;
  readonly created?: number;
  readonly choices?: readonly ChunkChoice[];
}

/** Length of the longest finish reason, which is one of a few words. */
const MAXIMUM_FINISH_REASON_LENGTH = 64;

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAbsentOr(type: 'string' | 'number', value: unknown): boolean {
  return value === undefined || value === null || typeof value === type;
}

function isChoice(value: unknown): boolean {
  if (!isObject(value)) {
    return false;
  }
  const { text, delta, finish_reason: finishReason } = value;
  const hasDelta = delta !== undefined && delta !== null;
  const isDelta = !hasDelta || (isObject(delta) && isAbsentOr('string', delta.content));
  const isReason =
    isAbsentOr('string', finishReason) && String(finishReason).length <= MAXIMUM_FINISH_REASON_LENGTH;
  return isDelta && isAbsentOr('string', text) && isReason;
}

function isChunk(value: unknown): value is CompletionChunk {
  if (!isObject(value)) {
    return false;
  }
  const { id, model, created, choices = [] } = value;
  const areScalars = isAbsentOr('string', id) && isAbsentOr('string', model) && isAbsentOr('number', created);
  return areScalars && Array.isArray(choices) && choices.every(isChoice);
}

/**
 * Parses the data of an event.
 *
 * @param data - text of the event
 * @returns the chunk; undefined if the text is none
 * @example
 * ```ts
 * completionChunk.parse('{"choices":[{"text":"a"}]}')?.choices?.[0]?.text; // 'a'
 * ```
 */
export function parse(data: string): CompletionChunk | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return isChunk(value) ? value : undefined;
  } catch {
    // Not JSON: the engine is faulty, and the reader ends its connection.
    return undefined;
  }
}
