#!/usr/bin/env node
/**
 * Runs a simulated upstream as a process: `upstreamProcess.js '{"kind":"engine",...}'`.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as kumquatfront from 'kumquatfront';

import * as announcer from './announcer/announcer.js';
import * as httpPoster from './announcer/httpPoster.js';
import * as engineHttp from './engine/engineHttp.js';
import * as engineModel from './engine/engineModel.js';
import * as orderReceiver from './engine/orderReceiver.js';
import type * as engineTypes from './engine/types.js';
import * as serviceHttp from './service/serviceHttp.js';
import * as serviceModel from './service/serviceModel.js';

/** Options in the JSON command-line argument. */
export interface UpstreamProcessOptions {
  readonly kind: 'engine' | 'plainService';
  readonly name: string;
  /** Loopback address to listen on. */
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly entries: readonly string[];
  readonly upstreamKey: string;
  /** Engine options; ignored for plain services. */
  readonly engine?: Omit<engineTypes.EngineOptions, 'name'>;
}

const ANNOUNCEMENT_LEASE = 4_000;
const ANNOUNCEMENT_INTERVAL = 1_000;
const REPORT_INTERVAL = 500;
const REPORT_LAG = 200;
const CACHE_EVENT_LOSS_SHARE = 0.1;

interface Upstream {
  readonly server: http.Server;
  readonly load: () => engineTypes.EngineLoad;
  readonly cacheChanges: () => { readonly added: readonly string[]; readonly removed: readonly string[] };
}

function createEngine(
  options: UpstreamProcessOptions,
  timers: kumquatfront.timerService.TimerService,
): Upstream {
  const engineOptions = { name: options.name, ...DEFAULT_ENGINE_OPTIONS, ...options.engine };
  const model = new engineModel.EngineModel(engineOptions, timers);
  const server = engineHttp.createServer({ model, orderReceiver: new orderReceiver.OrderReceiver(true) });
  return { server, load: () => model.load(), cacheChanges: () => model.drainCacheChanges() };
}

const DEFAULT_ENGINE_OPTIONS: Omit<engineTypes.EngineOptions, 'name'> = {
  memoryTokens: 6_000,
  slots: 16,
  stepBase: 12,
  stepPerRunning: 0.3,
  prefillPerToken: 0.02,
  prefillPerStep: 512,
  cachedPrefixes: 64,
};

function createService(): Upstream {
  const model = new serviceModel.ServiceModel();
  const idle = { running: 0, waiting: 0, usedTokens: 0 };
  return {
    server: serviceHttp.createServer(model),
    load: () => idle,
    cacheChanges: () => ({ added: [], removed: [] }),
  };
}

function run(options: UpstreamProcessOptions): void {
  const { clock, scheduler } = kumquatfront.systemTime;
  const timers = kumquatfront.timerService.create(clock, scheduler);
  const random = kumquatfront.seededRandom.createUnpredictable();
  const upstream = options.kind === 'engine' ? createEngine(options, timers) : createService();
  const engine = { ...DEFAULT_ENGINE_OPTIONS, ...options.engine };
  upstream.server.listen(options.port, options.host, () => {
    const { port } = upstream.server.address() as net.AddressInfo;
    const upstreamAnnouncer = new announcer.Announcer({
      announcement: {
        name: options.name,
        incarnation: clock.wall(),
        address: `http://${options.host}:${port}`,
        kind: options.kind,
        labels: options.labels,
        dataCentre: options.dataCentre,
        memoryTokens: options.kind === 'engine' ? engine.memoryTokens : 0,
        slots: options.kind === 'engine' ? engine.slots : 0,
        lease: ANNOUNCEMENT_LEASE,
      },
      timers,
      random,
      announcementInterval: ANNOUNCEMENT_INTERVAL,
      reportInterval: REPORT_INTERVAL,
      reportLag: REPORT_LAG,
      cacheEventLossShare: CACHE_EVENT_LOSS_SHARE,
      load: upstream.load,
      cacheChanges: upstream.cacheChanges,
      isFrozen: () => false,
      post: httpPoster.create({ entries: options.entries, upstreamKey: options.upstreamKey, random }),
    });
    process.once('SIGTERM', () => {
      upstreamAnnouncer.sendTerminationNotice();
    });
  });
}

const [, , argument] = process.argv;
if (argument !== undefined) {
  run(JSON.parse(argument) as UpstreamProcessOptions);
}
