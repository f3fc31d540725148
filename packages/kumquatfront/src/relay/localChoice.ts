/**
 * Chooses an upstream from what this entry alone knows: its own open requests, loads that upstreams told with
 * their answers, and their health as felt here.
 */
import type * as sendRules from '../backPressure/sendRules.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as health from '../routing/health.js';
import type * as types from './types.js';

/** A load that an upstream told counts for this long; later the own count says more. */
const LOAD_LIFE: ports.Milliseconds = 400;

/** Ejections here are short: an upstream that restarts is back under a new identity anyway. */
const HEALTH_SETTINGS: health.HealthSettings = {
  firstEjection: 1_500,
  longestEjection: 8_000,
  failuresBeforeEjection: 2,
};

/** At least this share of a service's upstreams stays in use, however many seem sick. */
const LEAST_USED_SHARE = 0.5;

/** What staying in the data centre is worth, in open requests: less than one, so it breaks ties only. */
const NEAR_BONUS = 0.3;

interface ToldLoad {
  readonly total: number;
  readonly at: ports.Milliseconds;
}

/** What the choice is made from. */
export interface LocalChoiceOptions {
  readonly random: ports.Random;
  readonly dataCentre: string;
  readonly rules: sendRules.SendRules;
}

/** The choice; see the module comment. */
export class LocalChoice {
  private readonly open = new Map<string, number>();
  private readonly told = new Map<string, ToldLoad>();
  private readonly health = new health.Health(HEALTH_SETTINGS);
  private readonly options: LocalChoiceOptions;

  constructor(options: LocalChoiceOptions) {
    this.options = options;
  }

  dispatched({ identity }: instanceView.Instance, now: number): void {
    this.open.set(identity, (this.open.get(identity) ?? 0) + 1);
    this.health.dispatched(identity, now);
  }

  ended(identity: string): void {
    const left = (this.open.get(identity) ?? 1) - 1;
    if (left <= 0) {
      this.open.delete(identity);
    } else {
      this.open.set(identity, left);
    }
  }

  loadTold(identity: string, load: NonNullable<types.UpstreamHead['load']>, now: number): void {
    this.told.set(identity, { total: load.running + load.waiting, at: now });
  }

  succeeded(identity: string): void {
    this.health.succeeded(identity);
  }

  failed(identity: string, event: health.HealthEvent, now: number): void {
    this.health.failed(identity, event, now);
  }

  forget(identity: string): void {
    this.open.delete(identity);
    this.told.delete(identity);
    this.health.forget(identity);
  }

  /** Identities that are ejected, never more than a share of all. */
  ejectedOf(candidates: readonly instanceView.Instance[], now: number): readonly string[] {
    const ejected = candidates
      .filter((instance) => this.health.isEjected(instance.identity, now))
      .map((instance) => instance.identity);
    return ejected.slice(0, Math.floor(candidates.length * LEAST_USED_SHARE));
  }

  private loadOf(instance: instanceView.Instance, now: number): number {
    const own = this.open.get(instance.identity) ?? 0;
    const told = this.told.get(instance.identity);
    const known = told !== undefined && now - told.at < LOAD_LIFE ? Math.max(own, told.total) : own;
    const { random, dataCentre } = this.options;
    return known - (instance.dataCentre === dataCentre ? NEAR_BONUS : 0) + random.next() * 0.1;
  }

  /** The least loaded of the healthy ones that may be sent something and were not tried; sick ones as a last resort. */
  choose(
    candidates: readonly instanceView.Instance[],
    tried: ReadonlySet<string>,
    now: number,
  ): instanceView.Instance | undefined {
    const ejected = new Set(this.ejectedOf(candidates, now));
    const { rules } = this.options;
    const untried = candidates.filter(
      (instance) => !tried.has(instance.identity) && rules.holdOfChoice(instance, now) === undefined,
    );
    const healthy = untried.filter((instance) => !ejected.has(instance.identity));
    let best: instanceView.Instance | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const instance of healthy.length > 0 ? healthy : untried) {
      const load = this.loadOf(instance, now);
      if (load < bestLoad) {
        best = instance;
        bestLoad = load;
      }
    }
    return best;
  }
}
