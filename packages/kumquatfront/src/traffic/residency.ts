/**
 * Where the work and the bodies of some requests may be: routes and client accounts may name regions as their home.
 * Where both do, both bind.
 */
import type * as types from './types.js';

/** Region of each data centre, by name, as the settings tell. */
export type Regions = ReadonlyMap<string, string>;

/**
 * Regions in which a request may run.
 *
 * @param route - its route
 * @param account - its client account, where it has one
 * @returns the regions; undefined where any will do
 * @example
 * ```ts
 * residency.regionsOf(route, account); // ['lk-west']
 * ```
 */
export function regionsOf(route: types.Route, account?: types.Account): readonly string[] | undefined {
  const { homes: ofRoute } = route;
  const ofAccount = account?.homes;
  if (ofRoute === undefined || ofAccount === undefined) {
    return ofRoute ?? ofAccount;
  }
  return ofRoute.filter((region) => ofAccount.includes(region));
}

/**
 * Data centres in which a request may run.
 *
 * @param wanted - regions in which it may; undefined where any will do
 * @param regions - all data centres
 * @returns names of data centres; undefined where any will do
 * @example
 * ```ts
 * residency.dataCentresIn(['lk-west'], regions); // ['colombo-a', 'negombo']
 * ```
 */
export function dataCentresIn(
  wanted: readonly string[] | undefined,
  regions: Regions,
): readonly string[] | undefined {
  if (wanted === undefined) {
    return undefined;
  }
  return [...regions].filter(([, region]) => wanted.includes(region)).map(([dataCentre]) => dataCentre);
}

/**
 * True where a data centre is among those in which a request may run.
 *
 * @param dataCentre - its name
 * @param allowed - names of data centres; undefined where any will do
 * @example
 * ```ts
 * residency.allows('colombo-a', routed.dataCentres);
 * ```
 */
export function allows(dataCentre: string, allowed: readonly string[] | undefined): boolean {
  return allowed === undefined || allowed.includes(dataCentre);
}
