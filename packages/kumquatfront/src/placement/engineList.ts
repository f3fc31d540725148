/**
 * The engines of the coordinator, from the instances that its control replica lists.
 */
import type * as instanceTypes from '../instances/types.js';
import * as software from '../streamOrigins/software.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import type * as enginePool from './enginePool.js';

/** State of services and data centres at the coordinator. */
export interface EngineListOptions {
  readonly serviceOf: (name: string) => trafficTypes.Service | undefined;
  /** True for a data centre whose engines must not receive new generations. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Permitted overshoot of the rate limit of cold engines. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
}

/**
 * Selects the engines among the instances, with the properties that placement depends on.
 *
 * @param instances - instances of all services
 * @returns the engines
 * @example
 * ```ts
 * pool.setEngines(engineList.fromInstances(table.records(now), options));
 * ```
 */
export function fromInstances(
  instances: readonly instanceTypes.InstanceRecord[],
  options: EngineListOptions,
): readonly enginePool.Engine[] {
  return instances.flatMap((instance) => toEngine(instance, options));
}

function toEngine(
  instance: instanceTypes.InstanceRecord,
  { serviceOf, isEvacuated, warmUpTolerance }: EngineListOptions,
): readonly enginePool.Engine[] {
  const service = serviceOf(instance.service);
  const traits = service?.engine;
  if (traits === undefined) {
    return [];
  }
  const warmUp = instance.warmUpLeft > 0 ? service?.warmUp : undefined;
  return [
    {
      identity: instance.identity,
      service: instance.service,
      dataCentre: instance.dataCentre,
      software: software.of(instance),
      draining: instance.state === 'leaving',
      evacuated: isEvacuated(instance.dataCentre),
      ...(warmUp !== undefined && {
        warmUpRateLimit: warmUpBounds.forCoordinator(warmUp, warmUpTolerance),
      }),
      traits: { ...traits, slots: instance.slots > 0 ? instance.slots : traits.slots },
    },
  ];
}
