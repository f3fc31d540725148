/**
 * Where one stream may go on: at the software that produced its first event. For a stream that its caller takes up, other
 * processes are asked. A stream of unknown origin is refused.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as software from '../streamOrigins/software.js';
import type * as originTypes from '../streamOrigins/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as exchangeContext from './exchangeContext.js';
import type * as types from './types.js';

const BEGIN_ANEW = 'send the request anew, without a last event';

/** Where a stream may be sent: at the service that the route selected, at another one of the route, or nowhere. */
export type Resolution =
  | { readonly state: 'here' }
  | { readonly state: 'elsewhere'; readonly service: trafficTypes.Service }
  | { readonly state: 'refused'; readonly refusal: types.Refusal };

/** Origin of one stream; see the module comment. */
export class StreamContinuation {
  /** Undefined for a stream without events. */
  origin: originTypes.StreamOrigin | undefined;
  private cancelSearch: ports.Cancel = () => undefined;

  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly routed: exchangeContext.RoutedRequest,
  ) {}

  private get key(): originTypes.StreamKey {
    const { request, account } = this.routed;
    return { account: account ?? '', attempt: request.resumes ?? request.identity };
  }

  /** Finds the origin if the caller has events of the stream. */
  resolve(done: (resolution: Resolution) => void): void {
    const { identity, lastEvent, resumes } = this.routed.request;
    if (lastEvent === undefined && resumes === undefined) {
      done({ state: 'here' });
      return;
    }
    this.context.log.info('streamTakenUp', { request: identity, resumes, lastEvent });
    if (resumes === undefined) {
      done(refusedAsUnknown('the request does not name the attempt that brought the first event'));
      return;
    }
    this.cancelSearch = this.context.origins.find(this.key, (found) => {
      done(this.onFound(found));
    });
  }

  private onFound(found: originTypes.FoundOrigin): Resolution {
    if (found.state === 'unknown') {
      return refusedAsUnknown('no process knows which software began the stream');
    }
    if (found.state === 'unreachable') {
      return refusedAsUnknown('a process that may know which software began the stream does not answer', {
        retryAfter: exchangeContext.NO_UPSTREAM_RETRY_DELAY,
        closesConnection: true,
      });
    }
    const { service, otherServices = [] } = this.routed;
    if (found.origin.service === service.name) {
      this.setOrigin(found.origin);
      return { state: 'here' };
    }
    const other = otherServices.find(({ name }) => name === found.origin.service);
    if (other !== undefined) {
      return { state: 'elsewhere', service: other };
    }
    const message = `the route no longer leads to the service that began the stream; ${BEGIN_ANEW}`;
    return { state: 'refused', refusal: { reason: 'softwareGone', message } };
  }

  /** Records the upstream that produced an event; that of the first one is the origin. */
  recordEvent(instance: instanceView.Instance): void {
    if (this.origin === undefined) {
      this.setOrigin(software.originAt(instance));
    }
  }

  private setOrigin(origin: originTypes.StreamOrigin): void {
    const { route } = this.routed;
    this.origin = origin;
    // On other routes no caller takes a stream up.
    if (route.resumable) {
      this.context.origins.record(this.key, origin, route.timeout);
    }
  }

  /** Records that a stream with events is sent to another upstream. */
  recordSend(
    instance: instanceView.Instance,
    lastEvent: string | undefined,
    copy: types.MemoryCopy | undefined,
  ): void {
    const { origin } = this;
    if (origin === undefined && lastEvent === undefined) {
      return;
    }
    const { log, metrics } = this.context;
    log.info('streamContinues', {
      request: this.routed.request.identity,
      upstream: instance.identity,
      software: software.of(instance),
      began: origin?.software,
      lastEvent,
      fromCopy: copy !== undefined,
    });
    const isSame = origin !== undefined && software.mayContinue(origin, instance);
    metrics.count('streams.continued', 1, { software: isSame ? 'same' : 'other' });
  }

  /** Records that the caller has the whole stream. */
  recordComplete(): void {
    this.context.origins.recordComplete(this.key);
  }

  cancel(): void {
    this.cancelSearch();
  }
}

function refusedAsUnknown(cause: string, retry: Partial<types.Refusal> = {}): Resolution {
  const message = `${cause}; ${BEGIN_ANEW}`;
  return { state: 'refused', refusal: { reason: 'originUnknown', message, ...retry } };
}
