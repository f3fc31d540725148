/**
 * Aggregates the chunks of a stream into one OpenAI-style answer, for callers that do not stream.
 */

import * as completionChunk from './completionChunk.js';

/** Aggregates the chunks of one answer. */
export class CompletionAggregator {
  private readonly isChat: boolean;
  private readonly fragments: string[] = [];
  private lastChunk: completionChunk.CompletionChunk = {};

  /**
   * @param path - path of the request, which determines the format of the answer
   */
  constructor(path: string) {
    this.isChat = path.endsWith('/chat/completions');
  }

  /** Adds a chunk. */
  addChunk(chunk: completionChunk.CompletionChunk): void {
    const choice = chunk.choices?.[0];
    this.fragments.push((this.isChat ? choice?.delta?.content : choice?.text) ?? '');
    this.lastChunk = chunk;
  }

  /** Discards all chunks, because a new generation begins. */
  reset(): void {
    this.fragments.length = 0;
  }

  /** Returns the answer as JSON text; `count` is the number of generated tokens. */
  toJson(count: number): string {
    const text = this.fragments.join('');
    const finishReason = this.lastChunk.choices?.[0]?.finish_reason ?? 'stop';
    const choice = this.isChat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
      : { index: 0, text, finish_reason: finishReason, logprobs: null };
    return JSON.stringify({
      id: this.lastChunk.id ?? '',
      object: this.isChat ? 'chat.completion' : 'text_completion',
      created: this.lastChunk.created ?? 0,
      model: this.lastChunk.model ?? '',
      choices: [choice],
      usage: { completion_tokens: count },
    });
  }
}
