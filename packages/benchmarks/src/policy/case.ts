/**
 * Runs one case of the measurement in a process of its own, so that cases run side by side: its options are
 * JSON on the command line, its figures JSON on standard output.
 */
import * as kumquatfront from 'kumquatfront';

import * as policies from './policies.js';
import * as policyRun from './policyRun.js';
import * as workload from './workload.js';

/** What a case is told. */
export interface CaseOptions {
  readonly deployment: 'tuckshop' | 'lankaroute';
  readonly policy: string;
  /** Offered output tokens a second over all engines. */
  readonly tokensPerSecond: number;
  readonly duration: number;
  readonly fault: policyRun.MeasuredFault;
  readonly seed: number;
  readonly headroom?: Partial<kumquatfront.headroom.HeadroomSettings>;
}

const options = JSON.parse(process.argv[2] ?? '{}') as CaseOptions;
const deployment = workload[options.deployment];
const created = policies.policies[options.policy] ?? policies.policies.policy;
const figures = policyRun.run({
  deployment,
  arrivals: workload.create(deployment, options.tokensPerSecond, options.duration, options.seed),
  duration: options.duration,
  createPlacement: (placement) =>
    created?.({ ...placement, headroom: { ...placement.headroom, ...options.headroom } }) ??
    new kumquatfront.localPlacement.LocalPlacement(placement),
  fault: options.fault,
  seed: options.seed,
});
process.stdout.write(JSON.stringify(figures));
