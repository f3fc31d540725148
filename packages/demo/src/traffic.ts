/**
 * Generates the traffic of the demonstration and checks the answers of each caller.
 */
import * as kumquatfront from 'kumquatfront';

import type * as deployments from './deployments.js';

/** Result of one caller. */
export interface CallerResult {
  readonly caller: string;
  readonly sent: number;
  readonly complete: number;
  /** Violations of the delivery guarantees. */
  readonly violations: readonly string[];
  readonly note: string;
}

/** Measurements over all callers, in milliseconds. */
export interface TrafficMeasurements {
  readonly urgentLatencies: number[];
  readonly interTokenLatencies: number[];
}

const TOKEN_PATTERN = /^(\S+)#(\d+) $/;
const PROMPT = 'Reconcile these receipts of the term and list what does not add up. '.repeat(12);

/** Callers of one deployment, each with a key and labels. */
export class Traffic {
  readonly measurements: TrafficMeasurements = { urgentLatencies: [], interTokenLatencies: [] };
  private readonly entries: readonly string[];
  private readonly deployment: deployments.Deployment;
  private readonly clients: kumquatfront.callerClient.CallerClient[] = [];

  constructor(entries: readonly string[], deployment: deployments.Deployment) {
    this.entries = entries;
    this.deployment = deployment;
  }

  private createClient(account: string, labels: string): kumquatfront.callerClient.CallerClient {
    const options = {
      entries: this.entries,
      key: `demo-key-${account}`,
      labels,
      idleTimeout: 5_000,
      deadline: 40_000,
      allowRestart: true,
    };
    const created = new kumquatfront.callerClient.CallerClient(options, kumquatfront.systemTime);
    this.clients.push(created);
    return created;
  }

  private now(): number {
    return kumquatfront.systemTime.clock.now();
  }

  /** Streams one long answer and checks the order and number of its tokens. */
  async streamLongAnswer(account: string, tokens: number): Promise<CallerResult> {
    const { label, model } = this.deployment.longTraffic;
    const violations: string[] = [];
    let received: { generation: string; index: number }[] = [];
    let lastAt: number | undefined;
    const receiver = {
      onToken: (data: string): void => {
        const chunk = JSON.parse(data) as { choices: readonly { text: string }[] };
        const [, generation = '', index = ''] = TOKEN_PATTERN.exec(chunk.choices[0]?.text ?? '') ?? [];
        received.push({ generation, index: Number(index) });
        const at = this.now();
        if (lastAt !== undefined) {
          this.measurements.interTokenLatencies.push(at - lastAt);
        }
        lastAt = at;
      },
      onRestart: (): void => {
        received = [];
      },
    };
    const body = { model, prompt: `${account}: ${PROMPT}`, stand_in_output_tokens: tokens };
    const result = await this.createClient(account, label).stream('/v1/completions', body, receiver);
    if (result.err) {
      violations.push(`not answered: ${result.val.message}`);
    } else if (received.length !== tokens) {
      violations.push(`received ${received.length} tokens of ${tokens}`);
    }
    if (received.some((token, position) => token.index !== position)) {
      violations.push('received tokens out of order');
    }
    if (new Set(received.map((token) => token.generation)).size > 1) {
      violations.push('received tokens of two generations');
    }
    const note = result.ok
      ? `${tokens} tokens, ${result.val.restarts} restarts, ${result.val.reconnects} reconnects`
      : '';
    return {
      caller: `${label.slice(8)} for ${account}`,
      sent: 1,
      complete: violations.length === 0 ? 1 : 0,
      violations,
      note,
    };
  }

  /** Sends short prompts to an engine until stopped. */
  async sendShortPrompts(isStopped: () => boolean): Promise<CallerResult> {
    const { label, account, model } = this.deployment.shortTraffic;
    const client = this.createClient(account, label);
    const violations: string[] = [];
    let sent = 0;
    let complete = 0;
    while (!isStopped()) {
      sent += 1;
      const startedAt = this.now();
      let tokens = 0;
      const body = { model, prompt: `Is receipt ${sent} claimable?`, stand_in_output_tokens: 12 };
      const result = await client.stream('/v1/completions', body, {
        onToken: () => {
          if (tokens === 0 && label === 'traffic=question') {
            this.measurements.urgentLatencies.push(this.now() - startedAt);
          }
          tokens += 1;
        },
        onRestart: () => {
          tokens = 0;
        },
      });
      if (result.ok && tokens === 12) {
        complete += 1;
      } else {
        violations.push(`question ${sent}: ${result.err ? result.val.message : `${tokens} tokens of 12`}`);
      }
      await this.pause(150);
    }
    return { caller: `${label.slice(8)}s`, sent, complete, violations, note: '' };
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      kumquatfront.systemTime.scheduler.after(milliseconds, resolve);
    });
  }

  /** Reads balances until stopped; each answer must belong to its request. */
  async sendReads(isStopped: () => boolean): Promise<CallerResult> {
    const { name, account, readPath } = this.deployment.service;
    const client = this.createClient(account, '');
    const violations: string[] = [];
    let sent = 0;
    let complete = 0;
    while (!isStopped()) {
      sent += 1;
      const path = `${readPath}/${sent}`;
      const startedAt = this.now();
      const result = await client.call(name, 'GET', path, '');
      this.measurements.urgentLatencies.push(this.now() - startedAt);
      if (result.ok && (JSON.parse(result.val.body) as { path: string }).path === path) {
        complete += 1;
      } else {
        violations.push(
          `read ${sent}: ${result.err ? result.val.message : 'received the answer to another request'}`,
        );
      }
      await this.pause(40);
    }
    return { caller: `${readPath.slice(1)} reads`, sent, complete, violations, note: '' };
  }

  /**
   * Sends actions until stopped, each twice concurrently with the same idempotency key; appends the keys to `keys`.
   */
  async sendActions(isStopped: () => boolean, keys: string[]): Promise<CallerResult> {
    const { name, account, actPath } = this.deployment.service;
    const clients = [this.createClient(account, ''), this.createClient(account, '')];
    const violations: string[] = [];
    let sent = 0;
    let complete = 0;
    let unknownOutcomes = 0;
    while (!isStopped()) {
      sent += 1;
      const key = `act-${sent}`;
      keys.push(key);
      const body = JSON.stringify({ amount: sent });
      const answers = await Promise.all(
        clients.map((client) => client.call(name, 'POST', actPath, body, key)),
      );
      if (answers.every((answer) => answer.ok)) {
        complete += 1;
      } else if (answers.some((answer) => answer.err && answer.val.kind === 'outcomeUnknown')) {
        unknownOutcomes += 1;
      } else {
        violations.push(
          `act ${sent}: ${answers.map((answer) => (answer.err ? answer.val.message : 'ok')).join(' / ')}`,
        );
      }
      await this.pause(120);
    }
    const note = `each sent twice; ${unknownOutcomes} with unknown outcome`;
    return { caller: actPath.slice(1), sent, complete, violations, note };
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map((client) => client.close()));
  }
}
