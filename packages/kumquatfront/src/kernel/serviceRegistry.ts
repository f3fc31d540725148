/**
 * Registry through which services find each other by name.
 */
import * as failures from './failures.js';

/** Registry of services; `Services` maps each name to the type of its service. */
export interface ServiceRegistry<Services extends object> {
  register<Name extends keyof Services & string>(name: Name, service: Services[Name]): void;
  /** Returns the service of a name; throws a `FailureError` if none is registered. */
  find<Name extends keyof Services & string>(name: Name): Services[Name];
  names(): readonly string[];
}

/**
 * Creates an empty registry.
 *
 * @returns the registry
 * @example
 * ```ts
 * const registry = serviceRegistry.create<{ greeter: { greet(): string } }>();
 * registry.register('greeter', { greet: () => 'hello' });
 * registry.find('greeter').greet();
 * ```
 */
export function create<Services extends object>(): ServiceRegistry<Services> {
  const services = new Map<string, unknown>();
  return {
    register: (name, service) => {
      services.set(name, service);
    },
    find: <Name extends keyof Services & string>(name: Name) => {
      if (!services.has(name)) {
        throw new failures.FailureError(
          failures.create(
            'notFound',
            `Service ${name} is not registered.`,
            `Register it before ${name} is looked up; registered services: ${[...services.keys()].join(', ')}.`,
          ),
        );
      }
      return services.get(name) as Services[Name];
    },
    names: () => [...services.keys()],
  };
}
