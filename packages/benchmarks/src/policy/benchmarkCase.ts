/**
 * Child process of `npm run measure` that runs one benchmark case: reads its options as JSON from the command line and
 * prints the figures as JSON to standard output.
 */
import * as kumquatfront from 'kumquatfront';

import * as policies from './policies.js';
import * as policyRun from './policyRun.js';
import * as workload from './workload.js';

/** Options of one benchmark case. */
export interface BenchmarkCaseOptions {
  readonly deployment: 'tuckshop' | 'lankaroute';
  readonly policy: string;
  /** Offered load in output tokens per second over all engines. */
  readonly tokensPerSecond: number;
  readonly duration: number;
  readonly fault: policyRun.InjectedFault;
  readonly seed: number;
  readonly headroom?: Partial<kumquatfront.headroom.HeadroomSettings>;
}

const options = JSON.parse(process.argv[2] ?? '{}') as BenchmarkCaseOptions;
const deployment = workload[options.deployment];
const createPolicy = policies.policies[options.policy] ?? policies.policies.policy;
const figures = policyRun.run({
  deployment,
  arrivals: workload.create(deployment, options.tokensPerSecond, options.duration, options.seed),
  duration: options.duration,
  createPlacement: (placement) =>
    createPolicy?.({ ...placement, headroom: { ...placement.headroom, ...options.headroom } }) ??
    new kumquatfront.localPlacement.LocalPlacement(placement),
  fault: options.fault,
  seed: options.seed,
});
process.stdout.write(JSON.stringify(figures));
