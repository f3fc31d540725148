/**
 * Handles caller requests: authenticates the client account, matches a selector, and starts the relay.
 */
import type * as configurationTypes from '../configuration/types.js';
import type * as ports from '../kernel/ports.js';
import type * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as contentDigest from '../quarantine/contentDigest.js';
import * as requestCauses from '../quarantine/requestCauses.js';
import type * as routing from '../routing/types.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as generationRelay from '../streams/generationRelay.js';
import * as resumeToken from '../streams/resumeToken.js';
import * as serviceRelay from '../streams/serviceRelay.js';
import type * as streams from '../streams/types.js';
import * as canonicalJson from '../utils/canonicalJson.js';
import * as instrumentedCaller from './instrumentedCaller.js';
import * as promptAttributes from './promptAttributes.js';
import * as refusals from './refusals.js';
import type * as requestServices from './requestServices.js';
import type * as types from './types.js';
import * as guardedPlacement from './guardedPlacement.js';

/** Dependencies of a request handler. */
export interface RequestHandlerOptions {
  readonly settings: types.EntrySettings;
  readonly ports: types.EntryPorts;
  readonly services: Pick<serviceRegistry.ServiceRegistry<requestServices.RequestServices>, 'find'>;
}

/** A request whose client account is known and for which a selector matched. */
interface AdmittedRequest {
  readonly account: trafficResolver.ResolvedAccount;
  readonly route: trafficResolver.Route;
  readonly labels: Readonly<Record<string, string>>;
}

type Refuse = (refusal: streams.Refusal) => void;

const NO_OP_HANDLE: streams.StreamHandle = {
  requestId: '',
  onDrain: () => undefined,
  onCallerDisconnect: () => undefined,
  giveUpAnswer: () => undefined,
};
const IDEMPOTENT_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** The request handler; see the module comment. */
export class RequestHandler {
  private readonly options: RequestHandlerOptions;
  private readonly log: ports.Log;
  private activeRequests = 0;

  constructor(options: RequestHandlerOptions) {
    this.options = options;
    this.log = options.ports.log;
  }

  /** Number of requests that have not finished. */
  get inFlight(): number {
    return this.activeRequests;
  }

  /** Addresses of the other entries that serve. */
  otherEntries(): readonly string[] {
    const { services, settings } = this.options;
    return services
      .find('directory')
      .entries()
      .filter((entry) => entry.state === 'serving' && entry.name !== settings.name)
      .map((entry) => entry.callerAddress);
  }

  private admitAccount(
    request: types.CallerRequest,
    refuse: Refuse,
  ): trafficResolver.ResolvedAccount | undefined {
    const configuration = this.options.services.find('configuration');
    if (!configuration.isReady()) {
      refuse(refusals.notReady(this.otherEntries()));
      return undefined;
    }
    if (!configuration.isFresh() && this.isPartitioned()) {
      refuse(refusals.stale(this.otherEntries()));
      return undefined;
    }
    const account = this.options.services.find('resolver').account(request.bearerKey);
    if (account === undefined) {
      refuse(refusals.unknownBearerKey);
    }
    return account;
  }

  /**
   * True if this entry reaches at most half of the entries named in the settings, itself included. The others
   * probably still receive configuration changes from control, so callers are redirected to them. An entry that reaches
   * more than half treats control as down: no change can be accepted then, and continuing to serve the last known
   * configuration reverts nothing.
   */
  private isPartitioned(): boolean {
    const { settings, services } = this.options;
    const others = settings.entries.filter((address) => address !== settings.peerAddress);
    const reached = services.find('directory').entries().length;
    return others.length > 0 && reached * 2 <= others.length + 1;
  }

  private admit(
    request: types.CallerRequest,
    extraLabels: Readonly<Record<string, string>>,
    refuse: Refuse,
  ): AdmittedRequest | undefined {
    const account = this.admitAccount(request, refuse);
    if (account === undefined) {
      return undefined;
    }
    const parsed = trafficResolver.parseHeaderLabels(request.labelsHeader);
    if (parsed.err) {
      refuse(refusals.invalid(parsed.val.message, parsed.val.remedy));
      return undefined;
    }
    // Labels of the account override those of the request, so that a caller cannot claim labels of another account.
    const labels = { ...parsed.val, ...extraLabels, ...account.labels };
    const route = this.options.services.find('resolver').route(labels);
    if (route === undefined) {
      refuse(refusals.noRoute);
      return undefined;
    }
    return { account, route, labels };
  }

  /** Handles a generation request. */
  generate(request: types.GenerationRequest, caller: streams.GenerationCaller): streams.StreamHandle {
    const refuse: Refuse = (refusal) => {
      caller.refuse(refusal);
    };
    const model = typeof request.body.model === 'string' ? request.body.model : '';
    const admitted = this.admit(request, { model, path: request.path }, refuse);
    if (admitted === undefined) {
      return NO_OP_HANDLE;
    }
    const prompt = promptAttributes.fromBody(request.body);
    if (prompt === undefined) {
      refuse(refusals.invalid('The body has neither a prompt nor messages.', 'Add "prompt" or "messages".'));
      return NO_OP_HANDLE;
    }
    return this.startRelay(request, admitted, prompt, caller);
  }

  private startRelay(
    request: types.GenerationRequest,
    admitted: AdmittedRequest,
    prompt: promptAttributes.PromptAttributes,
    caller: streams.GenerationCaller,
  ): streams.StreamHandle {
    const { ports: entryPorts, services, settings } = this.options;
    const { account, route, labels } = admitted;
    const { selector } = route;
    const requestId = entryPorts.random.identity();
    const model = selector.adapter ?? selector.model ?? labels.model ?? '';
    const traffic = labels.traffic ?? route.selectorName;
    const placementRequest = {
      requestId,
      account: account.name,
      deployment: selector.deployment,
      upstreams: route.deployment.upstreams,
      kind: route.deployment.kind,
      urgency: selector.urgency,
      promptTokens: prompt.tokens,
      prefix: prompt.prefix,
      estimateKeys: [`${account.name}/${model}/${traffic}`, `${model}/${traffic}`, model],
    };
    const engineRequest = {
      path: request.path,
      body: JSON.stringify({ ...request.body, model, stream: true }),
      priority: selector.urgency === 'urgent' ? 0 : 1,
    };
    const relay = new generationRelay.GenerationRelay({
      requestId,
      request: engineRequest,
      mayRestart: request.acceptsRestart && selector.onUpstreamDeath === 'restart',
      engines: entryPorts.engines,
      timers: services.find('timers'),
      settings: settings.relay,
      caller: this.instrument(selector.urgency, caller),
      host: this.createRelayHost(placementRequest, request.path, {
        content: contentDigest.fromParts([request.path, account.name], canonicalJson.stringify(request.body)),
        parts: prompt.sharedParts.map((part) => requestCauses.partKey(route.deployment.upstreams, part)),
      }),
    });
    this.activeRequests += 1;
    services.find('retries').recordRequest(account.name);
    relay.start();
    return relay;
  }

  private instrument(
    urgency: configurationTypes.Urgency,
    caller: streams.GenerationCaller,
  ): streams.GenerationCaller {
    const { services, ports: entryPorts } = this.options;
    const { clock, metrics } = entryPorts;
    return instrumentedCaller.create({
      now: () => clock.now(),
      burn: services.find('burn'),
      metrics,
      urgency,
      caller,
    });
  }

  private createRelayHost(
    request: Omit<routing.PlacementRequest, 'exclude'>,
    path: string,
    causes: requestCauses.RequestCauses,
  ): generationRelay.RelayHost {
    const { services, ports: entryPorts, settings } = this.options;
    const placement = services.find('placement');
    const quarantine = services.find('quarantine');
    const contentGuard = new guardedPlacement.GuardedPlacement({
      request,
      causes,
      placement,
      quarantine,
      log: this.log,
    });
    return {
      requestPlacement: (exclude, done) => contentGuard.requestPlacement(exclude, done),
      issueTokenPrefix: (target, generation) =>
        resumeToken.issuePrefix(
          {
            requestId: request.requestId,
            account: request.account,
            upstream: target.name,
            address: target.address,
            generation,
            path,
          },
          settings.signingKey,
        ),
      mayRetry: () => services.find('retries').mayRetry(request.account),
      onProgress: (produced) => {
        placement.onProgress(request.requestId, produced);
        contentGuard.onProgress();
      },
      onReleased: (upstream, produced, reason) => {
        contentGuard.onReleased(reason);
        this.onReleased(request.requestId, upstream, produced, reason);
      },
      onStall: (milliseconds) => {
        entryPorts.metrics.count('relay.stalls', 1);
        this.log.debug('streamStalled', { request: request.requestId, milliseconds });
      },
      onEventDiscarded: () => {
        entryPorts.metrics.count('relay.dropped_tokens', 1);
      },
      otherEntries: () => this.otherEntries(),
      onFinished: () => {
        this.activeRequests -= 1;
      },
    };
  }

  private onReleased(
    requestId: string,
    upstream: string,
    produced: number,
    reason: generationRelay.ReleaseReason,
  ): void {
    const { services, ports: entryPorts } = this.options;
    const health = services.find('health');
    services.find('placement').onFinished(requestId, produced, reason === 'whole');
    if (reason === 'whole') {
      health.recordSuccess(upstream);
    } else if (reason === 'failure' || reason === 'neverSent' || reason === 'stall') {
      health.recordFailure(upstream, reason === 'stall' ? 'stall' : 'failure', entryPorts.clock.now());
      entryPorts.metrics.count('upstream.failures', 1, { reason });
      this.log.warn('upstreamFailed', { upstream, reason, request: requestId });
    }
  }

  /** Resumes a stream that was started at this or another entry. */
  resume(request: types.ResumeRequest, caller: streams.GenerationCaller): streams.StreamHandle {
    const { settings, ports: entryPorts, services } = this.options;
    const account = this.admitAccount(request, (refusal) => {
      caller.refuse(refusal);
    });
    if (account === undefined) {
      return NO_OP_HANDLE;
    }
    const verified = resumeToken.verify(request.token, account.name, settings.signingKey);
    if (verified.err || verified.val.claims.requestId !== request.requestId) {
      const { message, remedy } = verified.err
        ? verified.val
        : {
            message: 'The resume token belongs to another request.',
            remedy: 'Resume the request that the token names.',
          };
      caller.refuse({ kind: 'invalid', status: 403, message, remedy });
      return NO_OP_HANDLE;
    }
    const { claims, nextIndex } = verified.val;
    const placementRequest = {
      requestId: `${claims.requestId}/${entryPorts.random.identity()}`,
      account: account.name,
      deployment: '',
      upstreams: '',
      kind: 'engine',
      urgency: 'patient',
      promptTokens: 0,
      prefix: '',
      estimateKeys: [],
    } as const;
    const relay = new generationRelay.GenerationRelay({
      requestId: claims.requestId,
      request: undefined,
      mayRestart: false,
      engines: entryPorts.engines,
      timers: services.find('timers'),
      settings: settings.relay,
      caller,
      host: {
        // A resumed stream is not placed again; it resumes only at the engine that runs it.
        ...this.createRelayHost(placementRequest, claims.path, { content: '', parts: [] }),
        // A reissued token must name the original request, not the identifier of this resumption.
        issueTokenPrefix: (target, generation) =>
          resumeToken.issuePrefix(
            { ...claims, upstream: target.name, address: target.address, generation },
            settings.signingKey,
          ),
      },
    });
    this.activeRequests += 1;
    relay.resumeFrom({ name: claims.upstream, address: claims.address }, claims.generation, nextIndex);
    return relay;
  }

  /** Handles a call to a plain service. */
  callService(request: types.ServiceRequest, caller: streams.ServiceCaller): void {
    const refuse: Refuse = (refusal) => {
      caller.refuse(refusal);
    };
    const extraLabels = { service: request.service, method: request.method, path: request.path };
    const admitted = this.admit(request, extraLabels, refuse);
    if (admitted === undefined) {
      return;
    }
    const { account, route } = admitted;
    const idempotent = route.selector.idempotent ?? IDEMPOTENT_METHODS.includes(request.method);
    const keyRefusal = idempotent ? undefined : refusals.forIdempotencyKey(request.idempotencyKey);
    if (keyRefusal !== undefined) {
      refuse(keyRefusal);
      return;
    }
    this.startCall(request, account, route, idempotent, caller);
  }

  private startCall(
    request: types.ServiceRequest,
    account: trafficResolver.ResolvedAccount,
    route: trafficResolver.Route,
    idempotent: boolean,
    caller: streams.ServiceCaller,
  ): void {
    const { services, ports: entryPorts, settings } = this.options;
    const { method, path, contentType, body } = request;
    const requestId = entryPorts.random.identity();
    const key = request.idempotencyKey ?? '';
    const host = this.createRelayHost(
      {
        requestId,
        account: account.name,
        deployment: route.selector.deployment,
        upstreams: route.deployment.upstreams,
        kind: route.deployment.kind,
        urgency: route.selector.urgency,
        promptTokens: 0,
        prefix: '',
        estimateKeys: [],
      },
      path,
      { content: contentDigest.fromParts([request.service, method, path, account.name], body), parts: [] },
    );
    const digest = canonicalJson.digest([request.service, method, path, body]);
    this.activeRequests += 1;
    services.find('retries').recordRequest(account.name);
    new serviceRelay.ServiceRelay({
      call: { method, path, contentType, body, idempotencyKey: key },
      claim: idempotent
        ? undefined
        : { account: account.name, key, digest, holder: settings.name, attempt: requestId },
      claims: services.find('claims'),
      services: entryPorts.services,
      timeout: settings.serviceTimeout,
      caller: instrumentedCaller.createForService({
        now: () => entryPorts.clock.now(),
        burn: services.find('burn'),
        metrics: entryPorts.metrics,
        urgency: route.selector.urgency,
        caller,
      }),
      host,
    }).start();
  }
}
