/** Scripted actions of users: submissions, cancellations, polls and unusual requests. */
import type { JobSpec } from '../../../../src/controller/wire/jobs.js';
import type { Simulation } from '../../simulation.js';
import { pollAfterChanges } from '../poll-after-changes.js';
import { sendUnusualRequests } from '../unusual-requests.js';
import type { FaultTiming, Injectors } from './injectors.js';
import { hostsOf } from './targets.js';

interface Cancellations {
  count: number;
  /** Seconds for which the machines of the cancelled jobs hang, from the cancellation on. */
  hang?: number;
  /** Seconds for which the machines of the cancelled jobs are cut off, from the cancellation on. */
  cut?: number;
  /** Whether to send the cancellations to controllers other than the leader. */
  elsewhere?: boolean;
}

interface JobStream {
  perSecond: number;
  /** Share of the jobs that users cancel. A job may be cancelled before it starts or after it has ended. */
  cancelShare: number;
  template: Partial<JobSpec>;
}

/** Parameters of the actions of users. */
export interface UserActions {
  jobsSubmitted: { count: number; template?: Partial<JobSpec> };
  jobStream: JobStream;
  jobsCancelled: Cancellations;
  jobsCancelledAsTheyEnd: { share: number };
  /** Cancels running jobs shortly after a leader has stepped down; `count` at each handover. */
  jobsCancelledAtHandovers: { count: number };
  pollsAfterChanges: { cancelShare: number };
  everyonePolls: object;
  unusualRequests: object;
}

/** Maximum delay of a cancellation by `jobsCancelled`, in milliseconds; the delays are random. */
const CANCEL_WINDOW_MS = 200;
/** Maximum time from the handover of the leadership to a cancellation, in milliseconds. */
const MAX_CANCEL_DELAY_AFTER_HANDOVER_MS = 2500;
/** Maximum time from the submission of a `jobStream` job to its cancellation, in milliseconds. */
const MAX_CANCEL_DELAY_MS = 12_000;
/** Time between two polls of one user during `everyonePolls`, in milliseconds. */
const POLL_INTERVAL_MS = 1000;

/** Injectors of the actions of users. */
export const userActions: Injectors<UserActions> = {
  jobsSubmitted: (simulation, { count, template = {} }) => {
    for (let i = 0; i < count; i++) simulation.submit(simulation.jobWith(template), null);
  },
  jobStream: submitJobStream,
  jobsCancelled: cancelRunningJobs,
  jobsCancelledAsTheyEnd: cancelAsTheyEnd,
  jobsCancelledAtHandovers: cancelAtHandovers,
  pollsAfterChanges: (simulation, { cancelShare }, ms) =>
    pollAfterChanges(simulation, cancelShare, ms),
  everyonePolls: ({ users }, _, ms) => users.everyonePolls(POLL_INTERVAL_MS, ms),
  unusualRequests: (simulation, _, ms) => sendUnusualRequests(simulation, ms),
};

function submitJobStream(
  simulation: Simulation,
  { perSecond, cancelShare, template }: JobStream & FaultTiming,
  durationMs: number,
): void {
  const { clock, random } = simulation;
  for (let atMs = 0; atMs < durationMs; atMs += 1000 / perSecond)
    clock.after(atMs, () => {
      const cancelled = random.next() < cancelShare;
      const cancelAfterMs = cancelled ? random.between(0, MAX_CANCEL_DELAY_MS) : null;
      simulation.submit(simulation.jobWith(template), cancelAfterMs);
    });
}

/** Cancels running jobs; with `hang` or `cut`, their machines then hang or are cut off. */
function cancelRunningJobs(
  simulation: Simulation,
  { count, hang = 0, cut = 0, elsewhere = false }: Cancellations,
): void {
  const { clock, random, connectionFaults } = simulation;
  const followers = hostsOf(simulation, 'others');
  for (const id of simulation.checker.jobs.running().slice(0, count)) {
    const host = elsewhere ? random.pick(followers) : undefined;
    clock.after(random.between(0, CANCEL_WINDOW_MS), () => {
      for (const worker of simulation.workersOf(id)) {
        if (hang > 0) worker.hang(hang * 1000);
        if (cut > 0) connectionFaults.cutMachine(worker, cut * 1000);
      }
      simulation.cancel(id, host);
    });
  }
}

/** Cancels a share of the jobs at the moment when their last task completes. */
function cancelAsTheyEnd(
  simulation: Simulation,
  { share }: { share: number },
  durationMs: number,
): void {
  const { clock, random, checker } = simulation;
  const until = clock.now + durationMs;
  checker.onLastTaskCompleted.push((id) => {
    if (clock.now <= until && random.next() < share) simulation.cancel(id);
  });
}

/** Cancels running jobs in the seconds after a leader has stepped down. */
function cancelAtHandovers(
  simulation: Simulation,
  { count }: { count: number },
  durationMs: number,
): void {
  const { clock, random, checker } = simulation;
  const until = clock.now + durationMs;
  simulation.processes.onLog.push((message) => {
    if (message !== 'no longer leader' || clock.now > until) return;
    for (const id of checker.jobs.running().slice(0, count))
      clock.after(random.between(0, MAX_CANCEL_DELAY_AFTER_HANDOVER_MS), () =>
        simulation.cancel(id, random.pick(simulation.hosts)),
      );
  });
}
