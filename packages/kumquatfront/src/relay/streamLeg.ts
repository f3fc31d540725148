/**
 * One leg of a stream: what one upstream sends of it, read as whole events. After a leg is closed nothing of it is
 * heard any more, so that a late answer never mixes with the leg that followed.
 */
import type * as instanceView from '../instances/instanceView.js';
import * as answerRules from './answerRules.js';
import * as eventSplitter from './eventSplitter.js';
import type * as types from './types.js';

/** An answer that is no stream of events but a failure, which is handed over whole. */
export interface FailureAnswer {
  readonly head: types.UpstreamHead;
  readonly body: Uint8Array;
}

/** What a leg tells its exchange. */
export interface LegListener {
  /** The head of a stream of events. */
  readonly begun: (head: types.UpstreamHead) => void;
  readonly loadTold: (load: NonNullable<types.UpstreamHead['load']>) => void;
  readonly event: (event: eventSplitter.WholeEvent) => void;
  /** The stream is complete; `rest` came behind its last event. */
  readonly ended: (rest: Uint8Array) => void;
  readonly failureAnswered: (failure: FailureAnswer) => void;
  /** The upstream states that it did not run the request. */
  readonly notRun: () => void;
  readonly broken: (failure: types.ExchangeFailure, reason: string) => void;
}

/** A leg; see the module comment. */
export class StreamLeg {
  readonly instance: instanceView.Instance;
  /** Where the memory comes from, for a leg that goes on from a copy. */
  readonly copy: types.MemoryCopy | undefined;
  /** Events that came. */
  events = 0;
  private readonly splitter = new eventSplitter.EventSplitter();
  private failure: { readonly head: types.UpstreamHead; readonly chunks: Uint8Array[] } | undefined;
  private open = true;
  private cancel: types.CancelExchange = () => undefined;

  constructor(instance: instanceView.Instance, copy: types.MemoryCopy | undefined) {
    this.instance = instance;
    this.copy = copy;
  }

  /**
   * Sends the request.
   *
   * @param repeatable - true where the request may run again elsewhere
   */
  start(
    upstreams: types.UpstreamPort,
    call: types.UpstreamCall,
    repeatable: boolean,
    listener: LegListener,
  ): void {
    this.cancel = upstreams.send(call, {
      head: (head) => {
        this.ifOpen(() => {
          this.onHead(head, repeatable, listener);
        });
      },
      data: (bytes) => {
        this.ifOpen(() => {
          this.onData(bytes, listener);
        });
      },
      end: () => {
        this.ifOpen(() => {
          this.onEnd(listener);
        });
      },
      failed: (failure, reason) => {
        this.ifOpen(() => {
          listener.broken(failure, reason);
        });
      },
    });
  }

  private ifOpen(run: () => void): void {
    if (this.open) {
      run();
    }
  }

  /**
   * Ends the leg; the upstream is told that nobody listens.
   *
   * @param why - `silent` where the leg is given up because nothing came of it
   */
  close(why?: 'silent'): void {
    if (this.open) {
      this.open = false;
      this.cancel(why);
    }
  }

  private onHead(head: types.UpstreamHead, repeatable: boolean, listener: LegListener): void {
    if (head.load !== undefined) {
      listener.loadTold(head.load);
    }
    const verdict = answerRules.judge(head, repeatable);
    if (verdict === 'notRun') {
      this.close();
      listener.notRun();
    } else if (verdict === 'garbled') {
      this.close();
      listener.broken('garbled', 'the answer is not one to this request');
    } else if (head.status >= 300) {
      this.failure = { head, chunks: [] };
    } else {
      listener.begun(head);
    }
  }

  private onData(bytes: Uint8Array, listener: LegListener): void {
    if (this.failure !== undefined) {
      this.failure.chunks.push(bytes);
      return;
    }
    for (const event of this.splitter.push(bytes)) {
      this.events += 1;
      listener.event(event);
      // The caller may have left with this event, or the exchange given up.
      if (!this.open) {
        return;
      }
    }
  }

  private onEnd(listener: LegListener): void {
    if (this.failure === undefined) {
      listener.ended(this.splitter.takeRest());
    } else {
      listener.failureAnswered({ head: this.failure.head, body: Buffer.concat(this.failure.chunks) });
    }
  }
}
