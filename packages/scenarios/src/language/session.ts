/**
 * Session of a scenario: the simulated deployment, and the requests of its callers and operators.
 */
import * as kumquatfront from 'kumquatfront';

import * as virtualStream from '../world/virtualStream.js';
import * as world from '../world/world.js';
import * as baseConfiguration from './baseConfiguration.js';

/** Call to a plain service and its outcome. */
export interface CallRecord {
  readonly key: string | undefined;
  state: 'open' | 'answered' | 'refused' | 'lost';
  refusal?: kumquatfront.streamTypes.Refusal;
  body?: string;
  replayed?: boolean;
}

/** Configuration change of an operator and its outcome. */
export interface ChangeRecord {
  state: 'open' | 'accepted' | 'refused';
  version: number;
  failure?: kumquatfront.failures.Failure;
}

const OPERATOR_LATENCY = 2;
const CALLER_LATENCY = 2;
const WAIT_STEP = 50;
const WAIT_TIMEOUT = 20_000;

/** Session of one scenario. */
export class Session {
  readonly lines: string[] = [];
  readonly world: world.World;
  readonly streams = new Map<string, virtualStream.VirtualStream>();
  readonly calls = new Map<string, CallRecord>();
  readonly changes = new Map<string, ChangeRecord>();
  private changeCount = 0;

  constructor(options: Omit<world.WorldOptions, 'record'>) {
    this.world = new world.World({
      ...options,
      record: (line) => {
        this.lines.push(line);
      },
    });
  }

  /** Advances the time until a condition holds; throws when the timeout expires. */
  waitUntil(description: string, condition: () => boolean): void {
    for (let waited = 0; waited < WAIT_TIMEOUT; waited += WAIT_STEP) {
      if (condition()) {
        return;
      }
      this.world.time.advance(WAIT_STEP);
    }
    throw new Error(`Timed out after ${WAIT_TIMEOUT} ms waiting until ${description}.`);
  }

  /** Waits until all replicas vote, applies the base configuration and additional drafts, and waits until all are in force. */
  configure(additionalDrafts: readonly kumquatfront.configurationTypes.ConfigurationDraft[] = []): void {
    const replicaCount = this.world.controls.size;
    this.waitUntil('every control replica votes', () => {
      const [leader] = this.world.leaders();
      const status = this.world.controls.get(leader ?? '')?.node?.status();
      return status?.replica.members.filter((member) => member.role === 'voter').length === replicaCount;
    });
    for (const [position, draft] of [...baseConfiguration.drafts, ...additionalDrafts].entries()) {
      const name = `base-${position}`;
      this.submitChange(
        name,
        { ...draft, expectedVersion: 0, changeId: `base-change-${position}` },
        this.world.leaders()[0] ?? '',
      );
      this.waitUntil(
        `${draft.kind} ${draft.name} is accepted`,
        () => this.changes.get(name)?.state === 'accepted',
      );
    }
    const version = Math.max(...[...this.changes.values()].map((record) => record.version));
    this.waitUntil(
      'the configuration is in force',
      () => this.countEntriesInForce(version) === this.world.entries.size,
    );
  }

  /** Number of entries where a version or a later one is in force. */
  countEntriesInForce(version: number): number {
    return [...this.world.entries.values()].filter(
      (entry) => (entry.node?.services.find('configuration').versionInForce ?? -1) >= version,
    ).length;
  }

  /** Submits an operator's change to a replica, which forwards it to the leader it knows. */
  submitChange(
    name: string,
    draft: kumquatfront.configurationTypes.ConfigurationDraft & {
      expectedVersion: number;
      changeId?: string;
    },
    replicaName: string,
  ): void {
    const record: ChangeRecord = { state: 'open', version: 0 };
    this.changes.set(name, record);
    this.changeCount += 1;
    const { kind, expectedVersion, body } = draft;
    const changeId = draft.changeId ?? `change-id-${this.changeCount}`;
    const command = { type: 'configure', changeId, kind, name: draft.name, expectedVersion, body } as const;
    const replica = this.world.controls.get(replicaName);
    const incarnation = replica?.host.incarnation;
    this.world.time.after(OPERATOR_LATENCY, () => {
      const leader = replica?.node?.services.find('replica').leader()?.address ?? replicaName;
      const target = this.world.controls.get(leader);
      replica?.host.runInProcess(replica.host.incarnation, () => {
        this.world.network.deliver(replicaName, leader, () => {
          target?.node?.configure(command, (result) => {
            this.world.network.deliver(leader, replicaName, () => {
              // A restart of the replica closes the operator's connection.
              if (replica.host.incarnation === incarnation) {
                this.finishChange(name, record, result);
              }
            });
          });
        });
      });
    });
  }

  private finishChange(
    name: string,
    record: ChangeRecord,
    result: kumquatfront.results.Result<unknown, kumquatfront.failures.Failure>,
  ): void {
    const answer = result.ok ? (result.val as kumquatfront.agreedTypes.ConfigureAnswer) : undefined;
    if (answer?.accepted === true) {
      record.state = 'accepted';
      record.version = answer.version;
      this.world.record(`operator: ${name} accepted as version ${answer.version}`);
      return;
    }
    record.state = 'refused';
    record.failure = result.err ? result.val : answer?.failure;
    this.world.record(`operator: ${name} refused as ${record.failure?.kind ?? 'unknown'}`);
  }

  /** Starts the stream of a caller. */
  startStream(request: virtualStream.StreamRequest, entryName: string): void {
    const stream = new virtualStream.VirtualStream(this.world.callerEnvironment(), request);
    this.streams.set(request.name, stream);
    stream.connect(entryName);
  }

  /** Calls a plain service. */
  callService(
    name: string,
    method: 'GET' | 'POST',
    path: string,
    key: string | undefined,
    body: string,
    entryName: string,
  ): void {
    const record: CallRecord = { key, state: 'open' };
    this.calls.set(name, record);
    const entry = this.world.entries.get(entryName);
    this.world.time.after(CALLER_LATENCY, () => {
      if (entry?.host.isUp !== true) {
        this.finishCall(name, record, 'lost', 'finds the entry closed');
        return;
      }
      const incarnation = entry.host.incarnation;
      const deliverLater = (run: () => void): void => {
        this.world.time.after(CALLER_LATENCY, () => {
          if (record.state === 'open' && entry.host.incarnation === incarnation) {
            run();
          }
        });
      };
      entry.host.onExit(() => {
        this.world.time.after(CALLER_LATENCY, () => {
          if (record.state === 'open') {
            this.finishCall(name, record, 'lost', 'loses its connection');
          }
        });
      });
      const request = {
        bearerKey: baseConfiguration.accountKeys.canteen,
        labelsHeader: undefined,
        service: 'app',
        method,
        path,
        contentType: 'application/json',
        body,
        idempotencyKey: key,
      };
      entry.host.runInProcess(incarnation, () => {
        entry.node?.requests.callService(request, {
          respond: (answer, repeated) => {
            deliverLater(() => {
              record.body = answer.body;
              record.replayed = repeated;
              this.finishCall(
                name,
                record,
                'answered',
                repeated ? 'gets the recorded answer' : 'gets its answer',
              );
            });
          },
          refuse: (refusal) => {
            deliverLater(() => {
              record.refusal = refusal;
              this.finishCall(name, record, 'refused', `is told ${refusal.kind}`);
            });
          },
        });
      });
    });
  }

  private finishCall(name: string, record: CallRecord, state: CallRecord['state'], text: string): void {
    record.state = state;
    this.world.record(`${name} ${text}`);
  }

  /** Number of runs of a call over all services. */
  runCountOf(keyOrPath: string): number {
    return [...this.world.services.values()].reduce(
      (sum, service) => sum + (service.model.runCounts.get(keyOrPath) ?? 0),
      0,
    );
  }
}
