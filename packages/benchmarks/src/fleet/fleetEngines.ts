/**
 * Engines that come and go, with what runs on each: every few seconds some give notice and are gone soon after,
 * and others take their places later. Copies of memory share the links of source and target.
 */
import type * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

/** How the engines behave. */
export interface FleetOptions {
  readonly engines: number;
  readonly dataCentres: number;
  readonly memoryTokens: number;
  /** Engines that give notice together. */
  readonly leaveTogether: number;
  /** Time between two such moments. */
  readonly leaveEvery: number;
  /** Factors on the time of a step, given to engines in turn as they start; all alike where absent. */
  readonly slowness?: readonly number[];
}

const SLOTS = 24;
const STEP_BASE = 7;
const STEP_PER_RUNNING = 0.12;
const PREFILL_PER_STEP = 112;
const PREFILL_TOKENS_PER_MILLISECOND = 14;

/** Copying one token's memory: 262,144 bytes over 38,000 Mbit/s; between data centres it takes twice as long. */
const COPY_TOKEN = 0.0552;
const FAR_COPY_FACTOR = 2;

/** First engines leave after this. */
const FIRST_NOTICE = 1_500;
const SHORTEST_NOTICE = 1_500;
const NOTICE_SPREAD = 600;
const REPLACED_AFTER = 4_000;
/** Time for which a gone engine is still listed. */
const LISTED_AFTER = 2_500;

/** One engine of the fleet. */
export interface FleetEngine {
  readonly identity: string;
  readonly dataCentre: string;
  readonly model: standIns.engineModel.EngineModel;
  state: 'ready' | 'leaving' | 'gone';
  linkFreeAt: number;
}

/** The engines; see the module comment. */
export class FleetEngines {
  readonly engines = new Map<string, FleetEngine>();
  private readonly options: FleetOptions;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private readonly random: kumquatfront.ports.Random;
  private readonly changed: () => void;
  private readonly lost: (engine: FleetEngine) => void;
  private started = 0;

  /**
   * @param changed - called when engines gave notice, went or came
   * @param lost - called with an engine that has gone, whose runs are lost
   */
  constructor(
    options: FleetOptions,
    time: kumquatfront.virtualTime.VirtualTime,
    random: kumquatfront.ports.Random,
    changed: () => void,
    lost: (engine: FleetEngine) => void,
  ) {
    this.options = options;
    this.time = time;
    this.random = random;
    this.changed = changed;
    this.lost = lost;
    for (let index = 0; index < options.engines; index += 1) {
      this.startEngine(`dc${index % options.dataCentres}`);
    }
    time.after(FIRST_NOTICE, () => {
      this.giveNotice();
    });
  }

  private startEngine(dataCentre: string): void {
    const { slowness = [1] } = this.options;
    const factor = slowness[this.started % slowness.length] ?? 1;
    this.started += 1;
    const identity = `engine${this.started}`;
    const model = new standIns.engineModel.EngineModel(
      {
        name: identity,
        memoryTokens: this.options.memoryTokens,
        slots: SLOTS,
        stepBase: STEP_BASE * factor,
        stepPerRunning: STEP_PER_RUNNING * factor,
        prefillPerToken: factor / PREFILL_TOKENS_PER_MILLISECOND,
        prefillPerStep: PREFILL_PER_STEP,
        cachedPrefixes: 0,
      },
      this.time,
    );
    this.engines.set(identity, { identity, dataCentre, model, state: 'ready', linkFreeAt: 0 });
  }

  private giveNotice(): void {
    const ready = [...this.engines.values()].filter((engine) => engine.state === 'ready');
    for (let count = 0; count < this.options.leaveTogether && ready.length > 1; count += 1) {
      const [engine] = ready.splice(Math.floor(this.random.next() * ready.length), 1);
      if (engine !== undefined) {
        this.leave(engine);
      }
    }
    this.changed();
    this.time.after(this.options.leaveEvery, () => {
      this.giveNotice();
    });
  }

  private leave(engine: FleetEngine): void {
    engine.state = 'leaving';
    this.time.after(SHORTEST_NOTICE + NOTICE_SPREAD * this.random.next(), () => {
      engine.state = 'gone';
      engine.model.freeze();
      this.lost(engine);
      this.changed();
      this.time.after(LISTED_AFTER, () => {
        this.engines.delete(engine.identity);
        this.changed();
      });
      this.time.after(REPLACED_AFTER, () => {
        this.startEngine(engine.dataCentre);
        this.changed();
      });
    });
  }

  /** Calls back once a copy is complete, behind the copies that share its links. */
  copy(source: FleetEngine, target: FleetEngine, tokens: number, done: () => void): void {
    const now = this.time.now();
    const factor = source.dataCentre === target.dataCentre ? 1 : FAR_COPY_FACTOR;
    const end = Math.max(now, source.linkFreeAt, target.linkFreeAt) + tokens * COPY_TOKEN * factor;
    source.linkFreeAt = end;
    target.linkFreeAt = end;
    this.time.after(end - now, done);
  }
}
