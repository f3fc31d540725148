/**
 * The two forms in which a caller gets a generation: as events while it grows, or whole.
 */
import type * as http from 'node:http';

import type * as ports from '../kernel/ports.js';
import type * as streams from '../streams/types.js';
import * as wholeAnswer from '../streams/wholeAnswer.js';
import * as httpAnswers from './httpAnswers.js';
import * as systemTime from './systemTime.js';

const KEEP_ALIVE_INTERVAL = 1_000;

/** Server-sent events; the id of each is the resume token for what follows it. */
export class EventAnswer implements streams.GenerationCaller {
  private readonly response: http.ServerResponse;
  private cancelKeepAlive: ports.Cancel = () => undefined;

  constructor(response: http.ServerResponse) {
    this.response = response;
    response.on('close', () => {
      this.cancelKeepAlive();
    });
  }

  /** Comments at intervals tell a waiting caller a crowded engine from an entry that is frozen or cut off. */
  private keepAlive(): void {
    this.cancelKeepAlive();
    this.cancelKeepAlive = systemTime.scheduler.after(KEEP_ALIVE_INTERVAL, () => {
      if (!this.response.writableNeedDrain && !this.response.writableEnded) {
        this.response.write(': alive\n\n');
      }
      this.keepAlive();
    });
  }

  accepted(resumeToken: string): void {
    if (this.response.headersSent) {
      return;
    }
    this.keepAlive();
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'kumquatfront-resume': resumeToken,
    });
    this.response.flushHeaders();
  }

  token(resumeToken: string, _index: number, data: string): boolean {
    return this.response.write(`id: ${resumeToken}\ndata: ${data}\n\n`);
  }

  restarted(resumeToken: string): void {
    this.response.write(`id: ${resumeToken}\nevent: restart\ndata: {}\n\n`);
  }

  ended(): void {
    this.response.end('data: [DONE]\n\n');
  }

  refused(refusal: streams.Refusal): void {
    if (!this.response.headersSent) {
      httpAnswers.sendRefusal(this.response, refusal);
      return;
    }
    this.response.end(`event: error\ndata: ${JSON.stringify(httpAnswers.refusalBody(refusal))}\n\n`);
  }
}

/** One JSON body when the generation is whole; nothing is sent before, so a restart goes unseen. */
export class WholeJsonAnswer implements streams.GenerationCaller {
  private readonly response: http.ServerResponse;
  private readonly answer: wholeAnswer.WholeAnswer;

  constructor(response: http.ServerResponse, path: string) {
    this.response = response;
    this.answer = new wholeAnswer.WholeAnswer(path);
  }

  accepted(): void {
    // Nothing is sent before the answer is whole.
  }

  token(_resumeToken: string, _index: number, data: string): boolean {
    this.answer.add(data);
    return true;
  }

  restarted(): void {
    this.answer.restart();
  }

  ended(count: number): void {
    this.response.writeHead(200, { 'content-type': 'application/json' });
    this.response.end(this.answer.finish(count));
  }

  refused(refusal: streams.Refusal): void {
    httpAnswers.sendRefusal(this.response, refusal);
  }
}
