/**
 * Simulated engines of a fleet: at intervals some get a termination notice, stop after a short notice period and are
 * replaced later. Copies of generation memory share the network links of source and target.
 */
import type * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

/** Size of the fleet and behaviour of its engines. */
export interface FleetEngineOptions {
  readonly engines: number;
  readonly dataCentres: number;
  readonly memoryTokens: number;
  /** Engines that get a termination notice at the same time. */
  readonly simultaneousTerminations: number;
  /** Time between two rounds of termination notices. */
  readonly terminationInterval: number;
  /** Factors on the duration of a step, assigned to engines in turn as they start; 1 for all if absent. */
  readonly stepTimeFactors?: readonly number[];
}

const SLOTS = 24;
const STEP_BASE = 7;
const STEP_PER_RUNNING = 0.12;
const PREFILL_PER_STEP = 112;
const PREFILL_TOKENS_PER_MILLISECOND = 14;

/** Milliseconds to copy the memory of one token: 262,144 bytes over 38,000 Mbit/s within a data centre. */
const COPY_TIME_PER_TOKEN = 0.0552;
const CROSS_DATA_CENTRE_COPY_FACTOR = 2;

const FIRST_TERMINATION_DELAY = 1_500;
const MINIMUM_NOTICE_PERIOD = 1_500;
const NOTICE_PERIOD_SPREAD = 600;
const REPLACEMENT_DELAY = 4_000;
/** Time for which a stopped engine is still listed. */
const DELISTING_DELAY = 2_500;

/** One engine of the fleet. */
export interface FleetEngine {
  readonly identity: string;
  readonly dataCentre: string;
  readonly model: standIns.engineModel.EngineModel;
  state: 'ready' | 'leaving' | 'gone';
  linkBusyUntil: number;
}

/** Starts, terminates and replaces the engines of a fleet. */
export class FleetEngines {
  readonly engines = new Map<string, FleetEngine>();
  private readonly options: FleetEngineOptions;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private readonly random: kumquatfront.ports.Random;
  private readonly onChange: () => void;
  private readonly onEngineLost: (engine: FleetEngine) => void;
  private startedCount = 0;

  /**
   * @param onChange - called when engines start, get a termination notice, stop or are removed from the list
   * @param onEngineLost - called with an engine that has stopped, whose generations are lost
   */
  constructor(
    options: FleetEngineOptions,
    time: kumquatfront.virtualTime.VirtualTime,
    random: kumquatfront.ports.Random,
    onChange: () => void,
    onEngineLost: (engine: FleetEngine) => void,
  ) {
    this.options = options;
    this.time = time;
    this.random = random;
    this.onChange = onChange;
    this.onEngineLost = onEngineLost;
    for (let index = 0; index < options.engines; index += 1) {
      this.startEngine(`dc${index % options.dataCentres}`);
    }
    time.after(FIRST_TERMINATION_DELAY, () => {
      this.terminateSome();
    });
  }

  private startEngine(dataCentre: string): void {
    const { stepTimeFactors = [1] } = this.options;
    const factor = stepTimeFactors[this.startedCount % stepTimeFactors.length] ?? 1;
    this.startedCount += 1;
    const identity = `engine${this.startedCount}`;
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
    this.engines.set(identity, { identity, dataCentre, model, state: 'ready', linkBusyUntil: 0 });
  }

  private terminateSome(): void {
    const ready = [...this.engines.values()].filter((engine) => engine.state === 'ready');
    for (let count = 0; count < this.options.simultaneousTerminations && ready.length > 1; count += 1) {
      const [engine] = ready.splice(Math.floor(this.random.next() * ready.length), 1);
      if (engine !== undefined) {
        this.terminate(engine);
      }
    }
    this.onChange();
    this.time.after(this.options.terminationInterval, () => {
      this.terminateSome();
    });
  }

  private terminate(engine: FleetEngine): void {
    engine.state = 'leaving';
    this.time.after(MINIMUM_NOTICE_PERIOD + NOTICE_PERIOD_SPREAD * this.random.next(), () => {
      engine.state = 'gone';
      engine.model.freeze();
      this.onEngineLost(engine);
      this.onChange();
      this.time.after(DELISTING_DELAY, () => {
        this.engines.delete(engine.identity);
        this.onChange();
      });
      this.time.after(REPLACEMENT_DELAY, () => {
        this.startEngine(engine.dataCentre);
        this.onChange();
      });
    });
  }

  /** Copies generation memory between engines; starts after earlier copies over the same links and calls back at the end. */
  copy(source: FleetEngine, target: FleetEngine, tokens: number, done: () => void): void {
    const now = this.time.now();
    const factor = source.dataCentre === target.dataCentre ? 1 : CROSS_DATA_CENTRE_COPY_FACTOR;
    const end =
      Math.max(now, source.linkBusyUntil, target.linkBusyUntil) + tokens * COPY_TIME_PER_TOKEN * factor;
    source.linkBusyUntil = end;
    target.linkBusyUntil = end;
    this.time.after(end - now, done);
  }
}
