/**
 * A session of a scenario: the world, and what its callers and operators are waiting for.
 */
import * as kumquatfront from 'kumquatfront';

import * as virtualCaller from '../world/virtualCaller.js';
import * as world from '../world/world.js';
import * as baseConfiguration from './baseConfiguration.js';

/** A call to a plain service and what came of it. */
export interface CallRecord {
  readonly key: string | undefined;
  state: 'open' | 'answered' | 'refused' | 'lost';
  refusal?: kumquatfront.streamTypes.Refusal;
  body?: string;
  repeated?: boolean;
}

/** An operator's change and what came of it. */
export interface ChangeRecord {
  state: 'open' | 'accepted' | 'refused';
  version: number;
  failure?: kumquatfront.failures.Failure;
}

const OPERATOR_LATENCY = 2;
const CALLER_LATENCY = 2;
const SETTLE_STEP = 50;
const SETTLE_LIMIT = 20_000;

/** The session; see the module comment. */
export class Session {
  readonly lines: string[] = [];
  readonly world: world.World;
  readonly streams = new Map<string, virtualCaller.VirtualStream>();
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

  /** Runs until a condition holds; fails the scenario where it never does. */
  waitUntil(what: string, holds: () => boolean): void {
    for (let waited = 0; waited < SETTLE_LIMIT; waited += SETTLE_STEP) {
      if (holds()) {
        return;
      }
      this.world.time.advance(SETTLE_STEP);
    }
    throw new Error(`Waited ${SETTLE_LIMIT} ms in vain: ${what}.`);
  }

  /** Waits for a full set of voters, applies the base configuration and what is given, and waits until it is in force. */
  configure(further: readonly kumquatfront.configurationTypes.ConfigurationDraft[] = []): void {
    const wanted = this.world.controls.size;
    this.waitUntil('every control replica votes', () => {
      const [leader] = this.world.leaders();
      const status = this.world.controls.get(leader ?? '')?.node?.status();
      return status?.replica.members.filter((member) => member.role === 'voter').length === wanted;
    });
    for (const [position, draft] of [...baseConfiguration.drafts, ...further].entries()) {
      const name = `base-${position}`;
      this.change(
        name,
        { ...draft, expectedVersion: 0, changeId: `base-change-${position}` },
        this.world.leaders()[0] ?? '',
      );
      this.waitUntil(
        `${draft.kind} ${draft.name} is accepted`,
        () => this.changes.get(name)?.state === 'accepted',
      );
    }
    const version = Math.max(...[...this.changes.values()].map((change) => change.version));
    this.waitUntil('the configuration is in force', () => this.inForce(version) === this.world.entries.size);
  }

  /** Entries that have at least a version in force. */
  inForce(version: number): number {
    return [...this.world.entries.values()].filter(
      (slot) => (slot.node?.services.find('configuration').inForce ?? -1) >= version,
    ).length;
  }

  /** An operator's change, at a replica that passes it on to the leader it knows. */
  change(
    name: string,
    draft: kumquatfront.configurationTypes.ConfigurationDraft & {
      expectedVersion: number;
      changeId?: string;
    },
    at: string,
  ): void {
    const record: ChangeRecord = { state: 'open', version: 0 };
    this.changes.set(name, record);
    this.changeCount += 1;
    const { kind, expectedVersion, body } = draft;
    const changeId = draft.changeId ?? `change-id-${this.changeCount}`;
    const command = { type: 'configure', changeId, kind, name: draft.name, expectedVersion, body } as const;
    const slot = this.world.controls.get(at);
    const life = slot?.host.currentLife;
    this.world.time.after(OPERATOR_LATENCY, () => {
      const leader = slot?.node?.services.find('replica').leader()?.address ?? at;
      const target = this.world.controls.get(leader);
      slot?.host.enter(slot.host.currentLife, () => {
        this.world.net.deliver(at, leader, () => {
          target?.node?.configure(command, (result) => {
            this.world.net.deliver(leader, at, () => {
              // The operator's connection is to one life of one replica.
              if (slot.host.currentLife === life) {
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

  /** A caller asks for a generation. */
  stream(wish: virtualCaller.StreamWish, at: string): void {
    const stream = new virtualCaller.VirtualStream(this.world.callerWorld(), wish);
    this.streams.set(wish.name, stream);
    stream.connect(at);
  }

  /** A caller calls a plain service. */
  call(
    name: string,
    method: 'GET' | 'POST',
    path: string,
    key: string | undefined,
    body: string,
    at: string,
  ): void {
    const record: CallRecord = { key, state: 'open' };
    this.calls.set(name, record);
    const entry = this.world.entries.get(at);
    this.world.time.after(CALLER_LATENCY, () => {
      if (entry?.host.isUp !== true) {
        this.finishCall(name, record, 'lost', 'finds the entry closed');
        return;
      }
      const life = entry.host.currentLife;
      const later = (run: () => void): void => {
        this.world.time.after(CALLER_LATENCY, () => {
          if (record.state === 'open' && entry.host.currentLife === life) {
            run();
          }
        });
      };
      entry.host.whenDead(() => {
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
      entry.host.enter(life, () => {
        entry.node?.requests.call(request, {
          answered: (answer, repeated) => {
            later(() => {
              record.body = answer.body;
              record.repeated = repeated;
              this.finishCall(
                name,
                record,
                'answered',
                repeated ? 'gets the recorded answer' : 'gets its answer',
              );
            });
          },
          refused: (refusal) => {
            later(() => {
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

  /** How often a call ran, over all services. */
  runsOf(keyOrPath: string): number {
    return [...this.world.services.values()].reduce(
      (sum, service) => sum + (service.model.runs.get(keyOrPath) ?? 0),
      0,
    );
  }
}
