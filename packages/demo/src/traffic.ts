/**
 * The callers of the demonstration, and what each of them got.
 */
import * as kumquatfront from 'kumquatfront';

import type * as deployments from './deployments.js';

/** What one caller got. */
export interface CallerResult {
  readonly caller: string;
  readonly sent: number;
  readonly whole: number;
  /** What went against a promise; empty when all is well. */
  readonly faults: readonly string[];
  readonly note: string;
}

/** Figures gathered over all callers, in milliseconds. */
export interface Figures {
  readonly urgentStalls: number[];
  readonly betweenTokens: number[];
}

const TEXT = /^(\S+)#(\d+) $/;
const PROMPT = 'Reconcile these receipts of the term and list what does not add up. '.repeat(12);

/** Makes callers with a key and labels. */
export class Traffic {
  readonly figures: Figures = { urgentStalls: [], betweenTokens: [] };
  private readonly entries: readonly string[];
  private readonly deployment: deployments.Deployment;
  private readonly clients: kumquatfront.callerClient.CallerClient[] = [];

  constructor(entries: readonly string[], deployment: deployments.Deployment) {
    this.entries = entries;
    this.deployment = deployment;
  }

  private client(account: string, labels: string): kumquatfront.callerClient.CallerClient {
    const options = {
      entries: this.entries,
      key: `demo-key-${account}`,
      labels,
      silenceLimit: 5_000,
      deadline: 40_000,
      restart: true,
    };
    const created = new kumquatfront.callerClient.CallerClient(options, kumquatfront.systemTime);
    this.clients.push(created);
    return created;
  }

  private now(): number {
    return kumquatfront.systemTime.clock.now();
  }

  /** Streams one long answer and checks every token. */
  async long(account: string, tokens: number): Promise<CallerResult> {
    const { label, model } = this.deployment.longTraffic;
    const faults: string[] = [];
    let received: { generation: string; index: number }[] = [];
    let lastAt: number | undefined;
    const receiver = {
      onToken: (data: string): void => {
        const chunk = JSON.parse(data) as { choices: readonly { text: string }[] };
        const [, generation = '', index = ''] = TEXT.exec(chunk.choices[0]?.text ?? '') ?? [];
        received.push({ generation, index: Number(index) });
        const at = this.now();
        if (lastAt !== undefined) {
          this.figures.betweenTokens.push(at - lastAt);
        }
        lastAt = at;
      },
      onRestart: (): void => {
        received = [];
      },
    };
    const body = { model, prompt: `${account}: ${PROMPT}`, stand_in_output_tokens: tokens };
    const result = await this.client(account, label).stream('/v1/completions', body, receiver);
    if (result.err) {
      faults.push(`not answered: ${result.val.message}`);
    } else if (received.length !== tokens) {
      faults.push(`${received.length} tokens of ${tokens}`);
    }
    if (received.some((token, position) => token.index !== position)) {
      faults.push('tokens out of order');
    }
    if (new Set(received.map((token) => token.generation)).size > 1) {
      faults.push('tokens of two generations');
    }
    const note = result.ok
      ? `${tokens} tokens, ${result.val.restarts} restarts, ${result.val.reconnects} reconnects`
      : '';
    return {
      caller: `${label.slice(8)} for ${account}`,
      sent: 1,
      whole: faults.length === 0 ? 1 : 0,
      faults,
      note,
    };
  }

  /** Asks short questions of an engine until told to stop. */
  async short(isOver: () => boolean): Promise<CallerResult> {
    const { label, account, model } = this.deployment.shortTraffic;
    const client = this.client(account, label);
    const faults: string[] = [];
    let sent = 0;
    let whole = 0;
    while (!isOver()) {
      sent += 1;
      const startedAt = this.now();
      let tokens = 0;
      const body = { model, prompt: `Is receipt ${sent} claimable?`, stand_in_output_tokens: 12 };
      const result = await client.stream('/v1/completions', body, {
        onToken: () => {
          if (tokens === 0 && label === 'traffic=question') {
            this.figures.urgentStalls.push(this.now() - startedAt);
          }
          tokens += 1;
        },
        onRestart: () => {
          tokens = 0;
        },
      });
      if (result.ok && tokens === 12) {
        whole += 1;
      } else {
        faults.push(`question ${sent}: ${result.err ? result.val.message : `${tokens} tokens of 12`}`);
      }
      await this.pause(150);
    }
    return { caller: `${label.slice(8)}s`, sent, whole, faults, note: '' };
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      kumquatfront.systemTime.scheduler.after(milliseconds, resolve);
    });
  }

  /** Reads balances until told to stop; each answer must be the one to its own question. */
  async reads(isOver: () => boolean): Promise<CallerResult> {
    const { name, account, readPath } = this.deployment.service;
    const client = this.client(account, '');
    const faults: string[] = [];
    let sent = 0;
    let whole = 0;
    while (!isOver()) {
      sent += 1;
      const path = `${readPath}/${sent}`;
      const startedAt = this.now();
      const result = await client.call(name, 'GET', path, '');
      this.figures.urgentStalls.push(this.now() - startedAt);
      if (result.ok && (JSON.parse(result.val.body) as { path: string }).path === path) {
        whole += 1;
      } else {
        faults.push(`read ${sent}: ${result.err ? result.val.message : 'the answer to another question'}`);
      }
      await this.pause(40);
    }
    return { caller: `${readPath.slice(1)} reads`, sent, whole, faults, note: '' };
  }

  /** Acts until told to stop, each action sent twice at once; returns the keys that were used too. */
  async acts(isOver: () => boolean, keys: string[]): Promise<CallerResult> {
    const { name, account, actPath } = this.deployment.service;
    const clients = [this.client(account, ''), this.client(account, '')];
    const faults: string[] = [];
    let sent = 0;
    let whole = 0;
    let unknown = 0;
    while (!isOver()) {
      sent += 1;
      const key = `act-${sent}`;
      keys.push(key);
      const body = JSON.stringify({ amount: sent });
      const answers = await Promise.all(
        clients.map((client) => client.call(name, 'POST', actPath, body, key)),
      );
      if (answers.every((answer) => answer.ok)) {
        whole += 1;
      } else if (answers.some((answer) => answer.err && answer.val.kind === 'outcomeUnknown')) {
        unknown += 1;
      } else {
        faults.push(
          `act ${sent}: ${answers.map((answer) => (answer.err ? answer.val.message : 'ok')).join(' / ')}`,
        );
      }
      await this.pause(120);
    }
    const note = `each sent twice; ${unknown} with an unknown outcome`;
    return { caller: actPath.slice(1), sent, whole, faults, note };
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map((client) => client.close()));
  }
}
