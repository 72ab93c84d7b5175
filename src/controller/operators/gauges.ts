/** Sets gauges from a controller's state when its metrics are scraped. */
import type { Fleet } from '../fleet/fleet.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Job } from '../model/entities.js';
import type { Placement } from '../placement/placement.js';
import type { RecordStore } from '../store/record-store.js';
import type { Workers } from '../workers/workers.js';
import type { Metrics } from './metrics.js';

/**
 * The methods of `Metrics` that a controller calls. The controller imports only this type, because the module
 * of `Metrics` is loaded some time after the start.
 */
export type MetricsSink = Pick<
  Metrics,
  | 'observeRequest'
  | 'observePlacementPass'
  | 'setPreemptions'
  | 'setUnreadableMessages'
  | 'setGauge'
  | 'render'
>;

/** The leader's state from which gauges are set. */
export interface LeaderState {
  table: Pick<JobTable, 'jobs'>;
  workers: Pick<Workers, 'machines'>;
  fleet: Pick<Fleet, 'bootingCount'>;
  placement: Pick<Placement, 'preemptionCount'>;
  records: Pick<RecordStore, 'transactionsGivenUp'>;
}

function sum(jobs: readonly Job[], amount: (job: Job) => number): number {
  return jobs.reduce((total, job) => total + amount(job), 0);
}

/** Sets the gauges that every node exports. */
export function setNodeGauges(metrics: MetricsSink, leading: boolean, term: number): void {
  metrics.setGauge('leading', '1 on the leader.', leading ? 1 : 0);
  metrics.setGauge('term', 'Term of the leader known here.', term);
  metrics.setGauge('memory_bytes', 'Memory that the process holds.', process.memoryUsage.rss());
}

/** Sets the gauges that only the leader exports. */
export function setLeaderGauges(metrics: MetricsSink, leader: LeaderState): void {
  const jobs = [...leader.table.jobs.values()];
  const reservingJobs = jobs.filter((job) => job.reservation !== null);
  const services = jobs.filter((job) => job.isService);
  metrics.setGauge('jobs', 'Unfinished jobs.', jobs.length);
  metrics.setGauge('holds', 'Gangs that hold room.', reservingJobs.length);
  metrics.setGauge(
    'pending_tasks',
    'Tasks that wait for room.',
    sum(jobs, (job) => job.pending.length),
  );
  metrics.setGauge('services', 'Services that run until they are cancelled.', services.length);
  metrics.setGauge(
    'replicas_missing',
    'Replicas of services that are not running.',
    sum(services, (job) => job.missingReplicas),
  );
  metrics.setGauge('machines', 'Machines known.', leader.workers.machines.size);
  metrics.setGauge('booting', 'Machines rented and not up yet.', leader.fleet.bootingCount);
  metrics.setGauge(
    'transactions_given_up',
    'Transactions that exceed the limits of the state store, in this term.',
    leader.records.transactionsGivenUp,
  );
  metrics.setPreemptions(leader.placement.preemptionCount);
}
