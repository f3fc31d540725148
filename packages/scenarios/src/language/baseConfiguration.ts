/**
 * Initial configuration of scenarios: one market, two client accounts, an engine pool, a service pool, and selectors
 * for reports, sheets, questions, reads and actions.
 */
import * as kumquatfront from 'kumquatfront';

/** Bearer keys of the client accounts. */
export const accountKeys = { school: 'key-of-school', canteen: 'key-of-canteen' } as const;

function account(name: keyof typeof accountKeys): kumquatfront.configurationTypes.ConfigurationDraft {
  const keyHashes = [kumquatfront.trafficResolver.hashKey(accountKeys[name])];
  return { kind: 'clientAccount', name, body: { market: 'wa-perth', keyHashes } };
}

function selector(name: string, body: object): kumquatfront.configurationTypes.ConfigurationDraft {
  return { kind: 'selector', name, body: { precedence: 10, ...body } };
}

/** Configuration objects, in the order in which they are applied. */
export const drafts: readonly kumquatfront.configurationTypes.ConfigurationDraft[] = [
  { kind: 'market', name: 'wa-perth', body: { labels: { region: 'wa' } } },
  { kind: 'deployment', name: 'llm', body: { kind: 'engine', upstreams: 'pool=llm', models: ['m'] } },
  { kind: 'deployment', name: 'app', body: { kind: 'plainService', upstreams: 'pool=app' } },
  account('school'),
  account('canteen'),
  selector('reports', { match: 'traffic=report,!service', deployment: 'llm', urgency: 'patient' }),
  selector('sheets', {
    match: 'traffic=sheet,!service',
    deployment: 'llm',
    urgency: 'patient',
    onUpstreamDeath: 'restart',
  }),
  selector('questions', { match: 'traffic=question,!service', deployment: 'llm', urgency: 'urgent' }),
  selector('reads', {
    match: 'service=app,method=GET',
    deployment: 'app',
    urgency: 'urgent',
    idempotent: true,
  }),
  selector('actions', {
    match: 'service=app,method=POST',
    deployment: 'app',
    urgency: 'urgent',
    idempotent: false,
  }),
];
