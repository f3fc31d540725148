/**
 * Gathers the chunks of a stream into one OpenAI-style answer, for callers that do not stream.
 */

interface Chunk {
  readonly id?: string;
  readonly model?: string;
  readonly created?: number;
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

/** Gathers one answer. */
export class WholeAnswer {
  private readonly chat: boolean;
  private readonly pieces: string[] = [];
  private last: Chunk = {};

  /**
   * @param path - path of the request, which decides the form of the answer
   */
  constructor(path: string) {
    this.chat = path.endsWith('/chat/completions');
  }

  add(data: string): void {
    const chunk = JSON.parse(data) as Chunk;
    const choice = chunk.choices?.[0];
    this.pieces.push((this.chat ? choice?.delta?.content : choice?.text) ?? '');
    this.last = chunk;
  }

  /** Drops everything: a new generation begins. */
  restart(): void {
    this.pieces.length = 0;
  }

  /** The answer as JSON text, with `count` tokens of output. */
  finish(count: number): string {
    const text = this.pieces.join('');
    const finishReason = this.last.choices?.[0]?.finish_reason ?? 'stop';
    const choice = this.chat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
      : { index: 0, text, finish_reason: finishReason, logprobs: null };
    return JSON.stringify({
      id: this.last.id ?? '',
      object: this.chat ? 'chat.completion' : 'text_completion',
      created: this.last.created ?? 0,
      model: this.last.model ?? '',
      choices: [choice],
      usage: { completion_tokens: count },
    });
  }
}
