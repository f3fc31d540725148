/**
 * Runs a small deployment of the programs as the deploy file starts them: each process on a loopback address of its
 * own, with settings rendered from the templates in `deploy/`.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const REPOSITORY = url.fileURLToPath(new URL('../../', import.meta.url));

/** Ports of every process; each process has a loopback address of its own. */
const PORTS = { peer: 7200, frontend: 8740, admin: 8748, readiness: 8749, registry: 8746 };
const METRICS_PORT = 9464;

const RESTART_DELAY_MS = 300;

/** Processes that end with this one, also when it is ended from outside. */
const children = new Set();

function endChildren() {
  for (const child of children) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
}

process.on('exit', endChildren);
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => process.exit(2));
}
// An error of a script is no broken rule.
process.on('uncaughtException', (error) => {
  process.stderr.write(`${error.stack}\n`);
  process.exit(2);
});

/** Has a child process end with this process; returns the child. */
export function tie(child) {
  children.add(child);
  child.on('exit', () => {
    children.delete(child);
  });
  return child;
}

export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Settings of the platform that every process of a deployment shares, from the pages of a deployment. */
export const perthBounds = {
  contact_ms: 3000,
  grace_period_s: 8,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 56,
};

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.on('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Finds a loopback subnet, such as `127.80.3`, on whose first addresses all ports are free. */
export async function findSubnet(hosts = 24) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const subnet = `127.${64 + Math.floor(Math.random() * 128)}.${1 + Math.floor(Math.random() * 250)}`;
    const checks = [];
    for (let host = 1; host <= hosts; host += 1) {
      for (const port of [...Object.values(PORTS), METRICS_PORT, 8080]) {
        checks.push(isFree(`${subnet}.${host}`, port));
      }
    }
    if ((await Promise.all(checks)).every(Boolean)) {
      return subnet;
    }
  }
  throw new Error('no free loopback subnet found');
}

function valueOf(fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

/** Renders the `{{name|json}}` placeholders of a settings template. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, name) =>
    JSON.stringify(valueOf(fields, name) ?? null),
  );
}

function readRole(name) {
  const text = fs.readFileSync(path.join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${name}]`)[1].split('\n[')[0];
  const field = (key) => new RegExp(`^${key} = "([^"]*)"`, 'm').exec(section)[1];
  return { command: field('run').split(' '), template: field('template') };
}

/** One process of the deployment, restarted when it exits, as the platform does. */
class SystemProcess {
  constructor(options) {
    Object.assign(this, options);
    this.log = '';
    this.exits = [];
    this.stopped = false;
    this.start(true);
  }

  start(isFirst) {
    const { command, template } = readRole(this.role);
    const text = fs.readFileSync(path.join(REPOSITORY, template), 'utf8');
    fs.writeFileSync(this.settingsFile, render(text, { ...this.fields, bootstrap: isFirst }));
    const [program, ...words] = command;
    const { PATH = '', HOME = '' } = process.env;
    this.child = tie(
      childProcess.spawn(program === 'node' ? process.execPath : program, words, {
        cwd: REPOSITORY,
        env: { PATH, HOME, KUMQUATFRONT_CONFIG: this.settingsFile },
        stdio: ['ignore', 'pipe', 'pipe'],
      }),
    );
    const record = (bytes) => {
      this.log += bytes.toString();
    };
    this.child.stdout.on('data', record);
    this.child.stderr.on('data', record);
    this.child.on('exit', (code, signal) => {
      this.exits.push({ at: Date.now(), code, signal });
      if (!this.stopped) {
        setTimeout(() => {
          if (!this.stopped) {
            this.start(false);
          }
        }, RESTART_DELAY_MS);
      }
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  stop() {
    this.stopped = true;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
  }
}

/** A deployment; `start` it, and `stop` it at the end. */
export class Deployment {
  /**
   * @param controls - zone of each control process
   * @param entries - zone of each entry process
   */
  constructor({ controls, entries, bounds = perthBounds, region = 'wa-perth' }) {
    Object.assign(this, { controlZones: controls, entryZones: entries, bounds, region });
    this.processes = [];
    this.recordFile = undefined;
  }

  async start() {
    this.subnet = await findSubnet();
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const zones = Object.fromEntries(
      [...this.controlZones, ...this.entryZones].map((zone) => [zone, this.region]),
    );
    const seeds = this.controlZones
      .slice(0, 3)
      .map((_zone, index) => `${this.hostOfControl(index)}:${PORTS.admin}`);
    const shared = {
      zones,
      seed_nodes: seeds,
      internal_port_range: [PORTS.peer, PORTS.peer + 15],
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: this.bounds,
    };
    this.controls = this.controlZones.map((zone, index) => {
      const ip = this.hostOfControl(index);
      const name = `core-${zone}-${index + 1}`;
      const listen = { admin: `${ip}:${PORTS.admin}`, registry: `${ip}:${PORTS.registry}` };
      const limits = { cpu_quota: 0.405, memory_mb: 346, max_open_files: 4096, link_mbps: 1000 };
      const data = path.join(this.folder, name);
      return this.launch('control', name, { ...shared, ip, zone, listen, limits, data_dir: data });
    });
    this.entries = this.entryZones.map((zone, index) => {
      const ip = `${this.subnet}.${11 + index}`;
      const name = `edge-${zone}-${index + 1}`;
      const listen = { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}` };
      const limits = { cpu_quota: 0.675, memory_mb: 200, max_open_files: 4100, link_mbps: 1000 };
      return this.launch('entry', name, { ...shared, ip, zone, listen, limits, data_dir: null });
    });
  }

  hostOfControl(index) {
    return `${this.subnet}.${1 + index}`;
  }

  launch(role, name, fields) {
    const settingsFile = path.join(this.folder, `${name}.json`);
    const started = new SystemProcess({ role, name, settingsFile, fields: { ...fields, node_name: name } });
    this.processes.push(started);
    return started;
  }

  get adminAddresses() {
    return this.controls.map((control) => control.fields.listen.admin);
  }

  get registryAddresses() {
    return this.controls.map((control) => control.fields.listen.registry);
  }

  /** Writes the logs of all processes into a folder, for the examination of a failure. */
  keepLogs(folder) {
    fs.mkdirSync(folder, { recursive: true });
    for (const { name, log } of this.processes) {
      fs.writeFileSync(path.join(folder, `${name}.log`), log);
    }
  }

  async stop() {
    for (const started of this.processes) {
      started.stop();
    }
    await sleep(200);
    if (this.folder !== undefined) {
      fs.rmSync(this.folder, { recursive: true, force: true });
    }
  }
}
