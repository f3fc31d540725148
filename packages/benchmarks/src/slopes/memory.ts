/**
 * Measures the heap that each item of an entry's or a control replica's state takes. Needs `--expose-gc`.
 */
import * as kumquatfront from 'kumquatfront';

/** Heap bytes per item. */
export interface MemorySlopes {
  readonly account: number;
  readonly upstream: number;
  readonly dispatch: number;
  readonly claim: number;
  readonly configurationObject: number;
}

const ITEM_COUNT = 5_000;

function heapAfterCollection(): number {
  const collect = (globalThis as { gc?: () => void }).gc;
  if (collect === undefined) {
    throw new Error('Garbage collection is not exposed: run `npm run slopes`, or node with --expose-gc.');
  }
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes per item that the result of `create` retains; it must hold `ITEM_COUNT` items. */
function heapPerItem(create: () => unknown): number {
  const before = heapAfterCollection();
  const retained = create();
  const after = heapAfterCollection();
  return retained === undefined ? 0 : (after - before) / ITEM_COUNT;
}

function itemIndexes(): readonly number[] {
  return Array.from({ length: ITEM_COUNT }, (_, position) => position);
}

function createAccount(position: number): kumquatfront.configurationTypes.ConfigurationObject {
  const name = `account-${position}`;
  const keyHashes = [kumquatfront.trafficResolver.hashKey(name)];
  return { kind: 'clientAccount', name, version: position, body: { market: 'm', keyHashes } };
}

function createResolverWithAccounts(): unknown {
  const resolver = new kumquatfront.trafficResolver.TrafficResolver();
  resolver.update(itemIndexes().map(createAccount));
  return resolver;
}

function createTableWithUpstreams(): unknown {
  const table = new kumquatfront.upstreamTable.UpstreamTable();
  const store = new kumquatfront.publicationStore.PublicationStore(60_000);
  for (const position of itemIndexes()) {
    const common = { name: `upstream-${position}`, incarnation: 1, sequence: 1 };
    const announcement: kumquatfront.directoryTypes.Announcement = {
      ...common,
      address: `http://10.0.${position % 250}.1:8000`,
      kind: 'engine',
      labels: { pool: 'llm', model: 'm' },
      dataCentre: 'c',
      memoryTokens: 16_000,
      slots: 32,
      lease: 60_000,
      leaving: false,
    };
    const report = { ...common, running: 10, waiting: 0, usedTokens: 9_000 };
    table.applyAnnouncement(announcement, 0, 0);
    table.applyLoadReport(report, 0, 0);
    store.publish('entry', 1, `announce/${common.name}`, { type: 'announce', announcement }, 0);
    store.publish('entry', 1, `load/${common.name}`, { type: 'load', report }, 0);
  }
  return [table, store];
}

function createTrackerWithDispatches(): unknown {
  const tracker = new kumquatfront.dispatchTracker.DispatchTracker();
  for (const position of itemIndexes()) {
    tracker.recordDispatch(
      {
        requestId: `request-${position}`,
        account: 'a',
        deployment: 'd',
        upstreams: 'pool=llm',
        kind: 'engine',
        urgency: 'patient',
        promptTokens: 100,
        prefix: '',
        estimateKeys: [`account-${position}/m/t`, 'm/t', 'm'],
        exclude: new Set(),
      },
      `upstream-${position % 600}`,
      0,
    );
  }
  return tracker;
}

function createStateWithClaims(): unknown {
  const state = new kumquatfront.agreedState.AgreedState();
  for (const position of itemIndexes()) {
    const common = { account: 'a', key: `key-${position}`, attempt: `attempt-${position}` };
    state.apply({ type: 'claim', ...common, digest: 'd'.repeat(64), holder: 'entry-1' }, position + 1, 0);
    const outcome = {
      status: 200,
      contentType: 'application/json',
      body: `{"done":${position},"pad":"${'x'.repeat(100)}"}`,
    };
    state.apply({ type: 'settleClaim', ...common, result: 'done', outcome }, position + 1, 0);
  }
  return state;
}

function createStateWithObjects(): unknown {
  const state = new kumquatfront.agreedState.AgreedState();
  for (const position of itemIndexes()) {
    const name = `market-${position}`;
    const body = { labels: { region: name } };
    const changeId = `change-${position}`;
    state.apply(
      { type: 'configure', changeId, kind: 'market', name, expectedVersion: 0, body },
      position + 1,
      0,
    );
  }
  return state;
}

/**
 * Measures the heap per item of each kind.
 *
 * @returns bytes per item
 * @example
 * ```ts
 * memory.measure().upstream;
 * ```
 */
export function measure(): MemorySlopes {
  return {
    account: heapPerItem(createResolverWithAccounts),
    upstream: heapPerItem(createTableWithUpstreams),
    dispatch: heapPerItem(createTrackerWithDispatches),
    claim: heapPerItem(createStateWithClaims),
    configurationObject: heapPerItem(createStateWithObjects),
  };
}
