/**
 * The two deployments of the demonstration, at reduced size.
 */

/** Size and traffic of one deployment. */
export interface Deployment {
  readonly name: string;
  readonly configurationFile: string;
  readonly dataCentres: readonly string[];
  readonly engines: { readonly pool: string; readonly count: number };
  readonly services: { readonly pool: string; readonly count: number };
  readonly longTraffic: {
    readonly label: string;
    readonly accounts: readonly string[];
    readonly model: string;
  };
  /** Short requests to an engine. */
  readonly shortTraffic: { readonly label: string; readonly account: string; readonly model: string };
  readonly service: {
    readonly name: string;
    readonly account: string;
    readonly readPath: string;
    readonly actPath: string;
  };
}

/** Tuckshop Ledger: three data centres. */
export const tuckshop: Deployment = {
  name: 'Tuckshop Ledger',
  configurationFile: 'examples/tuckshopLedger/configuration.json',
  dataCentres: ['perth-1', 'perth-2', 'perth-3'],
  engines: { pool: 'ledger-llm', count: 3 },
  services: { pool: 'tuckshop-app', count: 2 },
  longTraffic: { label: 'traffic=report', accounts: ['school-large', 'school-small'], model: 'ledger-8b' },
  shortTraffic: { label: 'traffic=question', account: 'school-small', model: 'ledger-8b' },
  service: { name: 'tuckshop', account: 'canteen', readPath: '/balances', actPath: '/reimbursements' },
};

/** Lankaroute Beverages: four data centres. */
export const lankaroute: Deployment = {
  name: 'Lankaroute Beverages',
  configurationFile: 'examples/lankaroute/configuration.json',
  dataCentres: ['lk-1', 'lk-2', 'lk-3', 'lk-4'],
  engines: { pool: 'kumquat-llm', count: 3 },
  services: { pool: 'van-api', count: 2 },
  longTraffic: {
    label: 'traffic=route-sheet',
    accounts: ['depot-colombo', 'depot-kandy'],
    model: 'route-13b',
  },
  shortTraffic: { label: 'traffic=credit-note', account: 'depot-kandy', model: 'route-13b' },
  service: { name: 'van', account: 'vans', readPath: '/balances', actPath: '/orders' },
};

/** Deployments by their name on the command line. */
export const byName: Readonly<Record<string, Deployment>> = { tuckshop, lankaroute };
