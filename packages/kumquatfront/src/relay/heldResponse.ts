/**
 * A response that is held until it is complete, within bounds on its size and, for server errors, on its time.
 */
import type * as ports from '../kernel/ports.js';
import type * as exchangeContext from './exchangeContext.js';
import type * as responseMemory from './responseMemory.js';
import type * as types from './types.js';

/** Time from the head of a server error to the end of its body: the request can be sent elsewhere meanwhile. */
const ERROR_BODY_TIMEOUT: ports.Milliseconds = 1_000;

const FIRST_SERVER_ERROR = 500;

/** One held response; see the module comment. */
export class HeldResponse {
  head: types.ResponseHead | undefined;
  private readonly buffer: responseMemory.ResponseBuffer;
  private cancelTimeout: ports.Cancel = () => undefined;

  /**
   * @param giveUp - called with the reason when the response exceeds a bound; closes its connection
   * @param shed - called instead when this entry needs its room; without it, the response is not given up for that
   */
  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly giveUp: (reason: string) => void,
    shed?: (reason: string) => void,
  ) {
    const ending = (end: (reason: string) => void) => (reason: string) => {
      this.cancelTimeout();
      end(reason);
    };
    this.buffer = context.responseMemory.openResponse(ending(giveUp), shed && ending(shed));
  }

  /** Records the head. */
  recordHead(head: types.ResponseHead): void {
    this.head = head;
    if (head.status >= FIRST_SERVER_ERROR) {
      this.cancelTimeout = this.context.timers.after(ERROR_BODY_TIMEOUT, () => {
        this.release();
        this.giveUp(`the body of the error did not end within ${ERROR_BODY_TIMEOUT} ms`);
      });
    }
  }

  /** Holds bytes of the body. */
  add(bytes: Uint8Array): void {
    this.buffer.add(bytes);
  }

  body(): Buffer {
    return this.buffer.content();
  }

  /** Gives the room back, and lifts the bounds. */
  release(): void {
    this.cancelTimeout();
    this.buffer.release();
  }
}
