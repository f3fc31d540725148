/**
 * Aggregates the chunks of a stream into one OpenAI-style answer, for callers that do not stream. The answer is collected as the
 * bytes of its JSON text, so that whoever bounds the bytes bounds all that is kept of the chunks.
 */

import * as completionChunk from './completionChunk.js';

/** Holds the bytes of an answer, within bounds of its own. */
export interface AnswerBuffer {
  add(bytes: Uint8Array): void;
  content(): Buffer;
}

/** Aggregates the chunks of one answer. */
export class CompletionAggregator {
  private readonly isChat: boolean;
  private readonly buffer: AnswerBuffer;
  private hasBegun = false;
  private finishReason: string | undefined;

  /**
   * @param path - path of the request, which determines the format of the answer
   * @param buffer - holds the answer until it is complete
   */
  constructor(path: string, buffer: AnswerBuffer) {
    this.isChat = path.endsWith('/chat/completions');
    this.buffer = buffer;
  }

  /** Adds a chunk; the first one names the answer. */
  addChunk(chunk: completionChunk.CompletionChunk): void {
    this.begin(chunk);
    const choice = chunk.choices?.[0];
    const text = (this.isChat ? choice?.delta?.content : choice?.text) ?? '';
    if (text !== '') {
      // Half of a surrogate pair is escaped, so that a pair may be split between chunks.
      this.addText(JSON.stringify(text).slice(1, -1));
    }
    this.finishReason = choice?.finish_reason ?? undefined;
  }

  /** Returns the answer as JSON text; `count` is the number of generated tokens. */
  toJson(count: number): Buffer {
    this.begin({});
    const finishReason = JSON.stringify(this.finishReason ?? 'stop');
    const end = this.isChat
      ? `"},"finish_reason":${finishReason}`
      : `","finish_reason":${finishReason},"logprobs":null`;
    this.addText(`${end}}],"usage":{"completion_tokens":${count}}}`);
    return this.buffer.content();
  }

  private begin({ id, created, model }: completionChunk.CompletionChunk): void {
    if (this.hasBegun) {
      return;
    }
    this.hasBegun = true;
    const names = JSON.stringify({
      id: id ?? '',
      object: this.isChat ? 'chat.completion' : 'text_completion',
      created: created ?? 0,
      model: model ?? '',
    });
    const text = this.isChat ? '"message":{"role":"assistant","content":"' : '"text":"';
    this.addText(`${names.slice(0, -1)},"choices":[{"index":0,${text}`);
  }

  private addText(text: string): void {
    this.buffer.add(Buffer.from(text));
  }
}
