/**
 * Data residency: routes and client accounts may restrict the processing and the bodies of their requests to home
 * regions. If both do, a region must be allowed by both.
 */
import type * as types from './types.js';

/** Region of each data centre, by data centre name. */
export type Regions = ReadonlyMap<string, string>;

/**
 * Returns the regions in which a request may run.
 *
 * @param account - its client account, if any
 * @returns the regions; undefined if unrestricted
 * @example
 * ```ts
 * residency.regionsOf(route, account); // ['lk-west']
 * ```
 */
export function regionsOf(route: types.Route, account?: types.Account): readonly string[] | undefined {
  const { homes: routeRegions } = route;
  const accountRegions = account?.homes;
  if (routeRegions === undefined || accountRegions === undefined) {
    return routeRegions ?? accountRegions;
  }
  return routeRegions.filter((region) => accountRegions.includes(region));
}

/**
 * Returns the data centres in which a request may run.
 *
 * @param allowedRegions - regions in which it may run; undefined if unrestricted
 * @returns names of data centres; undefined if unrestricted
 * @example
 * ```ts
 * residency.dataCentresIn(['lk-west'], regions); // ['colombo-a', 'negombo']
 * ```
 */
export function dataCentresIn(
  allowedRegions: readonly string[] | undefined,
  regions: Regions,
): readonly string[] | undefined {
  if (allowedRegions === undefined) {
    return undefined;
  }
  return [...regions]
    .filter(([, region]) => allowedRegions.includes(region))
    .map(([dataCentre]) => dataCentre);
}

/**
 * Reports whether a request may run in a data centre.
 *
 * @param dataCentre - name of the data centre
 * @param allowed - names of the allowed data centres; undefined if unrestricted
 * @example
 * ```ts
 * residency.allows('colombo-a', routed.dataCentres);
 * ```
 */
export function allows(dataCentre: string, allowed: readonly string[] | undefined): boolean {
  return allowed === undefined || allowed.includes(dataCentre);
}
