/**
 * Streams of three model runners through a small deployment, for cases about the ends of streams. One answer in twenty of
 * each runner has neither a length nor chunks.
 */
import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as url from 'node:url';

import { Deployment, sleep, tie } from './deployment.js';
import { call } from './http.js';
import { Record } from './record.js';

const ENGINE = url.fileURLToPath(new URL('./engine.js', import.meta.url));

/** Memory of a runner of the deployment tuckshop-perth. */
const MEMORY_TOKENS = 34198;
/** The users' days leave one answer in twenty without a length. */
const UNFRAMED_EVERY = 20;

const SHORT_EVENTS = 3;
const LONG_EVENTS = 233;
const LONG_STREAMS = 27;
const ZONES = ['perth-a', 'perth-b', 'perth-c'];

/** Thrown where a case could not be brought about. */
export class CannotRun extends Error {}

const engineConfiguration = {
  ...{ slots: 24, kv_capacity_tokens: MEMORY_TOKENS, kv_bytes: 262144, link_mbps: 38000 },
  ...{ migrations: true, backups: true, stride: 4, most: 12, pin_ms: 4000, hold_ms: 2000, kv_ttl_s: 5 },
  models: [{ name: 'm' }],
};

function route(name, changes) {
  return {
    ...{ name, host: 'school.example', path_prefix: `/${name}/`, route_type: 'streaming', service: 'llm' },
    ...{ anonymous: false, session_affinity: true, target_itl_ms: 180, ...changes },
  };
}

const configuration = JSON.stringify({
  version: 1,
  routes: [
    route('recon', {
      ...{ timeout_ms: 39000, target_latency_ms: 1800, priority: 1, max_attempts: 1, stream_resume: false },
    }),
    route('check', {
      ...{ timeout_ms: 6000, target_latency_ms: 1500, priority: 0, max_attempts: 2, stream_resume: true },
    }),
  ],
  services: [
    {
      ...{ name: 'llm', health_check_path: '/healthz', max_connections: 232, protocol: 'h1', tls: false },
      inference_engine: engineConfiguration,
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: 'school', api_keys: ['k1'], priority: 1 }],
});

/** One run; see the module comment. */
export class StreamScenario {
  constructor(folder) {
    this.record = new Record(folder);
    this.deployment = new Deployment({ controls: ZONES, entries: ZONES });
    this.engines = new Map();
    this.outcomes = [];
    this.sent = 0;
  }

  /**
   * Starts all processes, and sends the configuration.
   *
   * @param zones - zones in which a runner is started
   */
  async start(zones = ZONES) {
    await this.deployment.start();
    for (const zone of zones) {
      this.startEngine(zone);
    }
    await sleep(1000);
    await this.configure();
    await sleep(2500);
  }

  /** Starts the runner of a zone, also anew under the same id; `changes` are options of the stand-in. */
  startEngine(zone, changes = {}) {
    const id = `i-${zone}`;
    const index = ZONES.indexOf(zone);
    const options = {
      ...{ id, service: 'llm', zone, address: `${this.deployment.subnet}.${17 + index}:8080` },
      ...{ controls: this.deployment.adminAddresses, memoryTokens: MEMORY_TOKENS },
      ...{ unframedEvery: UNFRAMED_EVERY, ...changes },
    };
    const child = tie(childProcess.fork(ENGINE, [JSON.stringify(options)], { stdio: 'inherit' }));
    const engine = { id, child, answers: 0, runs: new Map(), exited: false };
    this.engines.set(id, engine);
    child.on('message', ({ event, attempt, ...details }) => {
      this.record.add(`${id}: ${event} ${attempt ?? ''} ${JSON.stringify(details)}`);
      if (event === 'began') {
        engine.answers = details.answers;
        engine.runs.set(attempt, { attempt, ...details });
      } else if (event === 'ended') {
        engine.runs.delete(attempt);
      }
    });
    child.on('exit', (code, signal) => {
      engine.exited = true;
      this.record.add(`${id}: the process has ended (${signal ?? code})`);
    });
    return engine;
  }

  async configure() {
    for (let tries = 0; tries < 30; tries += 1) {
      const address = this.deployment.adminAddresses[tries % ZONES.length];
      const answer = await call({
        ...{ address, method: 'POST', path: '/-/config/replace', body: configuration },
      });
      if (answer.status === 200) {
        return;
      }
      await sleep(300);
    }
    throw new CannotRun('the configuration was not acknowledged');
  }

  /** Entry to which a client sends an attempt. */
  entryOf(attempt) {
    return this.deployment.entries[Number.parseInt(attempt, 16) % ZONES.length];
  }

  /** Sends one request of a client, and follows its stream to its end. */
  requestStream(name, events, promptTokens) {
    this.sent += 1;
    const attempt = this.sent.toString(16).padStart(16, '0');
    const [host, port] = this.entryOf(attempt).fields.listen.frontend.split(':');
    return new Promise((resolve) => {
      const finish = (status, body, isComplete) => {
        const received = (body.match(/\n\n/g) ?? []).length;
        const versions = [...new Set([...body.matchAll(/ by (v\d+)\n/g)].map(([, version]) => version))];
        this.outcomes.push({ attempt, events, status, received, isComplete, versions });
        const counts = `${received} of ${events} events, complete: ${isComplete}`;
        this.record.add(`client: ${attempt} ${name} ${status}: ${counts}, versions: ${versions.join(' ')}`);
        resolve();
      };
      const request = http.request({
        ...{ host, port: Number(port), method: 'POST', path: `/${name}/1?events=${events}`, agent: false },
        headers: {
          ...{ Host: 'school.example', Authorization: 'Token k1', 'X-Attempt-Id': attempt, 'X-Model': 'm' },
          ...{ 'X-Token-Usage': `${promptTokens},${events * 4}`, 'X-Length-Hint': String(events * 4) },
          'X-Prompt-Prefix': `5c1e07a2:79,${attempt}:${promptTokens - 79}`,
          ...{ 'X-Deadline-Ms': name === 'recon' ? '39000' : '6000', 'Content-Length': 2 },
        },
      });
      request.on('error', (error) => {
        finish(error.message, '', false);
      });
      request.on('response', (response) => {
        let body = '';
        response.on('data', (bytes) => {
          body += bytes.toString();
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          finish(response.statusCode, body, response.complete);
        });
      });
      request.end('{}');
    });
  }

  /**
   * Short answers first: at one runner the next answer without a length shall be the first of its long ones. That one is the
   * last that the system moves to another runner.
   */
  async warmUp() {
    for (let tries = 0; tries < 90; tries += 1) {
      if ([...this.engines.values()].some(({ answers }) => answers === UNFRAMED_EVERY - 1)) {
        return;
      }
      await this.requestStream('check', SHORT_EVENTS, 700);
    }
  }

  /** Begins long streams until the runners are full; returns the promise of their ends. */
  async beginLongStreams() {
    const streams = [];
    for (let count = 0; count < LONG_STREAMS; count += 1) {
      streams.push(this.requestStream('recon', LONG_EVENTS, 3079));
      await sleep(60);
    }
    await sleep(1500);
    return { ended: Promise.all(streams) };
  }

  /** Runner whose oldest stream has neither a length nor chunks, and that stream. */
  findUnframed() {
    for (const engine of this.engines.values()) {
      const [oldest] = engine.runs.values();
      if (oldest?.isUnframed) {
        return { engine, attempt: oldest.attempt };
      }
    }
    throw new CannotRun('no runner serves a long stream without a length');
  }

  /** Number of streams that ended as complete before their last event. */
  countFalseEnds() {
    const { outcomes, record } = this;
    const successes = outcomes.filter(({ status }) => status === 200);
    const whole = successes.filter(({ received, events }) => received === events);
    const broken = successes.filter(({ isComplete }) => !isComplete);
    const falseEnds = successes.filter(({ isComplete, received, events }) => isComplete && received < events);
    record.add(`${outcomes.length} requests: ${whole.length} whole, ${broken.length} broken off and told so`);
    record.add(`streams that ended as complete before their last event: ${falseEnds.length}`);
    return falseEnds.length;
  }

  async stop() {
    for (const { child } of this.engines.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    if (process.env.KEEP_LOGS !== undefined) {
      this.deployment.keepLogs(process.env.KEEP_LOGS);
    }
    await this.deployment.stop();
  }
}

/**
 * Plays a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param play - returns the number of breaks
 */
export async function runCase(scenario, rule, play) {
  let result = 2;
  try {
    result = (await play()) > 0 ? 1 : 0;
  } catch (error) {
    scenario.record.add(`cannot run: ${error.message}`);
  } finally {
    await scenario.stop();
  }
  scenario.record.add([`${rule} held`, `${rule} was broken`, 'the case could not run'][result]);
  process.exit(result);
}
