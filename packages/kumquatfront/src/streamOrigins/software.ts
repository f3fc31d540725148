/**
 * The software that an upstream runs. Names of versions have no order, and mean something within one service only.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as types from './types.js';

/**
 * Software of an upstream. Upstreams that announce no version may run any, and never match.
 *
 * @returns a key that two upstreams of a service share only if they run the same software
 * @example
 * ```ts
 * software.of({ ...instance, softwareVersion: 'v1.2' }); // 'version v1.2'
 * ```
 */
export function of({
  softwareVersion,
  identity,
}: Pick<instanceTypes.Announcement, 'softwareVersion' | 'identity'>): string {
  return softwareVersion === undefined ? `incarnation ${identity}` : `version ${softwareVersion}`;
}

/**
 * Origin of a stream whose first event an upstream has produced.
 *
 * @param instance - the upstream
 * @returns the origin
 * @example
 * ```ts
 * const origin = software.originAt(segment.instance);
 * ```
 */
export function originAt(instance: instanceTypes.Announcement): types.StreamOrigin {
  return { service: instance.service, software: of(instance) };
}

/**
 * Checks whether a stream may go on at an upstream.
 *
 * @param origin - origin of the stream
 * @returns true if the upstream runs the software that began the stream
 * @example
 * ```ts
 * const candidates = instances.filter((instance) => software.mayContinue(origin, instance));
 * ```
 */
export function mayContinue(origin: types.StreamOrigin, instance: instanceTypes.Announcement): boolean {
  return origin.service === instance.service && origin.software === of(instance);
}
