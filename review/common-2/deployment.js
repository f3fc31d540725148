/**
 * Starts a small deployment of the project's programs with the commands and templates of the deploy file, each process
 * on a loopback address of its own, and runner stand-ins beside it.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import { call } from './httpCall.js';

const COMMON = path.dirname(url.fileURLToPath(import.meta.url));
export const REPOSITORY = path.resolve(COMMON, '../..');

/** Bounds of the site tuckshop-perth. */
const BOUNDS = {
  grace_period_s: 8,
  config_apply_ms: 2_000,
  retry_budget_ratio: 0.2,
  budget_slack: 56,
  budget_window_s: 10,
};

/** "A process that exits or is killed is restarted after a short delay." */
const RESTART_DELAY = 200;

export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Waits until the condition holds; throws after the timeout. */
export async function until(condition, timeout, what) {
  const end = Date.now() + timeout;
  while (!(await condition())) {
    if (Date.now() > end) {
      throw new Error(`timed out: ${what}`);
    }
    await sleep(50);
  }
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => net.createServer());
  await Promise.all(servers.map((server) => new Promise((resolve) => server.listen(0, '0.0.0.0', resolve))));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Renders the placeholders `{{a.b|json}}` that the project's templates use, as DEPLOY.md describes them. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_whole, name) => {
    const value = name.split('.').reduce((from, key) => from?.[key], fields);
    return JSON.stringify(value ?? null);
  });
}

/** Reads the run command and the template of a role from the deploy file. */
function readRole(role) {
  const text = fs.readFileSync(path.join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  const field = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
  return {
    command: field('run').split(' '),
    template: fs.readFileSync(path.join(REPOSITORY, field('template')), 'utf8'),
  };
}

/** One process of the project. */
class SystemProcess {
  constructor(deployment, role, index) {
    this.deployment = deployment;
    this.role = role;
    this.name = `${role}-${index}`;
    this.host = `${deployment.network}.${role === 'control' ? 1 : 2}${String(index).padStart(2, '0')}`;
    this.zone = deployment.zones[(index - 1) % deployment.zones.length];
    this.settingsFile = path.join(deployment.folder, `${this.name}.json`);
    this.logFile = path.join(deployment.folder, `${this.name}.log`);
    this.exits = [];
    this.stopped = false;
  }

  writeSettings(bootstrap) {
    const { ports, zones, folder, seeds } = this.deployment;
    const fields = {
      node_name: this.name,
      zone: this.zone,
      zones: Object.fromEntries(zones.map((zone) => [zone, 'region-1'])),
      ip: this.host,
      internal_port_range: [ports.internal, ports.internal + 15],
      seed_nodes: seeds,
      bootstrap,
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      data_dir: this.role === 'control' ? path.join(folder, `${this.name}-data`) : null,
      listen: {
        frontend: `${this.host}:${ports.frontend}`,
        readiness: `${this.host}:${ports.readiness}`,
        admin: `${this.host}:${ports.admin}`,
        registry: `${this.host}:${ports.registry}`,
      },
      bounds: BOUNDS,
      limits: { cpu_quota: 0.675, memory_mb: 200, max_open_files: 4_100, link_mbps: 1_000 },
    };
    fs.writeFileSync(this.settingsFile, render(readRole(this.role).template, fields));
  }

  start(bootstrap) {
    this.writeSettings(bootstrap);
    const [program, ...parameters] = readRole(this.role).command;
    const log = fs.openSync(this.logFile, 'a');
    this.child = childProcess.spawn(program, parameters, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, KUMQUATFRONT_CONFIG: this.settingsFile },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    const { child } = this;
    child.on('exit', (code, signal) => {
      this.exits.push({ code, signal, at: Date.now() });
      this.deployment.record(`process ${this.name} ends: ${signal ?? `by itself, code ${code}`}`);
      if (!this.stopped) {
        setTimeout(() => {
          if (!this.stopped) {
            this.start(false);
          }
        }, RESTART_DELAY);
      }
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Number of times that the process ended by itself. */
  get ownEnds() {
    return this.exits.filter(({ signal }) => signal === null).length;
  }

  log() {
    return fs.existsSync(this.logFile) ? fs.readFileSync(this.logFile, 'utf8') : '';
  }
}

/** One runner stand-in, a process of its own. */
class Runner {
  constructor(deployment, options) {
    this.options = options;
    this.name = options.id;
    this.child = childProcess.fork(path.join(COMMON, 'runner.js'), [JSON.stringify(options)], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    this.child.on('message', (message) => {
      deployment.onRunnerMessage({ ...message, runner: this.name });
    });
    this.child.on('error', () => undefined);
  }

  signal(name) {
    this.child.kill(name);
  }

  send(message) {
    if (this.child.connected) {
      this.child.send(message, () => undefined);
    }
  }
}

/** A deployment; see the module comment. */
export class Deployment {
  constructor(options = {}) {
    this.zones = options.zones ?? ['zone-a', 'zone-b', 'zone-c'];
    this.controlCount = options.control ?? 3;
    this.entryCount = options.entries ?? 3;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const pick = () => 20 + Math.floor(Math.random() * 200);
    this.network = `127.${pick()}.${pick()}`;
    this.runners = [];
    this.runs = [];
    this.lines = [];
    this.startedAt = Date.now();
    this.processes = [];
  }

  record(text) {
    this.lines.push(`${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
  }

  onRunnerMessage(message) {
    this.runs.push({ ...message, at: Date.now() });
    this.record(`runner ${message.runner} ${message.event} ${message.id ?? ''} ${message.detail ?? ''}`);
  }

  async start() {
    const [frontend, readiness, admin, registry, runner] = await freePorts(5);
    const internal = 20_000 + Math.floor(Math.random() * 10_000);
    this.ports = { frontend, readiness, admin, registry, runner, internal };
    const numbers = (count) => Array.from({ length: count }, (_none, index) => index + 1);
    this.control = numbers(this.controlCount).map((index) => new SystemProcess(this, 'control', index));
    this.entries = numbers(this.entryCount).map((index) => new SystemProcess(this, 'entry', index));
    this.seeds = this.control.slice(0, 3).map(({ host }) => `${host}:${admin}`);
    this.processes = [...this.control, ...this.entries];
    for (const each of this.processes) {
      each.start(true);
    }
  }

  get adminAddresses() {
    return this.control.map(({ host }) => `${host}:${this.ports.admin}`);
  }

  startRunner(service, index, options = {}) {
    const runner = new Runner(this, {
      id: `${service}-${index}`,
      service,
      address: `${this.network}.${service === 'llm' ? 40 + index : 60 + index}:${this.ports.runner}`,
      zone: this.zones[index % this.zones.length],
      slots: service === 'llm' ? 24 : 6,
      control: this.adminAddresses,
      ...options,
    });
    this.runners.push(runner);
    return runner;
  }

  configuration(version) {
    const route = (name, type, timeout, service, attempts, resumes) => ({
      name,
      host: 'review.example',
      path_prefix: `/${name}/`,
      route_type: type,
      timeout_ms: timeout,
      target_latency_ms: 1_500,
      priority: 1,
      service,
      max_attempts: attempts,
      anonymous: false,
      session_affinity: service === 'llm',
      stream_resume: resumes,
      target_itl_ms: 180,
    });
    return {
      version,
      routes: [
        route('long', 'streaming', 39_000, 'llm', 1, false),
        route('short', 'streaming', 39_000, 'llm', 2, true),
        route('post', 'non_idempotent', 5_000, 'app', 1, false),
        route('get', 'idempotent', 5_000, 'app', 2, false),
      ],
      services: [
        {
          name: 'llm',
          health_check_path: '/healthz',
          max_connections: 232,
          protocol: 'h1',
          tls: false,
          inference_engine: {
            slots: 24,
            kv_capacity_tokens: 34_198,
            kv_bytes: 262_144,
            link_mbps: 38_000,
            migrations: true,
            backups: true,
            stride: 4,
            most: 12,
            pin_ms: 4_000,
            hold_ms: 2_000,
            kv_ttl_s: 5,
            models: [{ name: 'm' }],
          },
        },
        { name: 'app', health_check_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false },
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{ name: 'tenant-1', api_keys: ['key-1'], priority: 1 }],
    };
  }

  /** Sends a configuration as the operator does, until it is acknowledged. */
  async configure(configuration, timeout = 30_000) {
    const body = JSON.stringify(configuration);
    let index = 0;
    await until(
      async () => {
        const address = this.adminAddresses[index % this.adminAddresses.length];
        index += 1;
        const answer = await call({
          address,
          method: 'POST',
          path: '/-/config/replace',
          body,
          timeout: 1_000,
        });
        return answer.status === 200;
      },
      timeout,
      'the configuration is acknowledged',
    );
    this.record(`operator configuration ${configuration.version} acknowledged`);
  }

  async isReady({ host }) {
    const address = `${host}:${this.ports.readiness}`;
    const answer = await call({ address, method: 'GET', path: '/-/readyz', timeout: 500 });
    return answer.status === 200;
  }

  /** Starts everything, and waits until all entries are ready and runners are known. */
  async startReady({ llm = 0, app = 0, runnerOptions = {} }) {
    await this.start();
    await this.configure(this.configuration(1));
    for (let index = 1; index <= llm; index += 1) {
      this.startRunner('llm', index, runnerOptions);
    }
    for (let index = 1; index <= app; index += 1) {
      this.startRunner('app', index, runnerOptions);
    }
    await until(
      async () => (await Promise.all(this.entries.map((entry) => this.isReady(entry)))).every(Boolean),
      30_000,
      'all entries are ready',
    );
    // All machines are in touch after contact_ms without a disruption, and have listed each other.
    await sleep(6_000);
  }

  /** Ends all processes, and writes the record. */
  async stop(recordFile, verdict) {
    for (const each of [...this.processes, ...this.runners]) {
      each.stopped = true;
      each.signal('SIGCONT');
      each.signal('SIGKILL');
    }
    this.record(verdict);
    if (recordFile !== undefined) {
      fs.writeFileSync(recordFile, `${this.lines.join('\n')}\n`);
    }
    await sleep(200);
    if (process.env.KEEP !== '1') {
      fs.rmSync(this.folder, { recursive: true, force: true });
    }
  }
}
