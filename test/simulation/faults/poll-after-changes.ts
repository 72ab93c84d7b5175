/** Polls every controller right after a change of a job. */
import { writeJobSpec } from '../../../src/controller/wire/jobs.js';
import type { Simulation } from '../simulation.js';

/** Number of requests that each controller gets after a change of a job. */
const REQUESTS_PER_CONTROLLER = 3;
/** Time after a change of a job within which all requests about it are sent, in milliseconds. */
const REQUEST_WINDOW_MS = 40;
/** Share of the requests that repeat the job's submission instead of polling its status. */
const RESUBMISSION_SHARE = 0.3;

/** Polls a job at one controller, or repeats its submission; the rule checker gets the response. */
function pollOnce(simulation: Simulation, id: string, host: string): void {
  const { checker, random } = simulation;
  const spec = simulation.users.specOf(id);
  if (spec === undefined) return;
  const resubmits = random.next() < RESUBMISSION_SHARE;
  const stateWhenSent = checker.visibleState(id);
  simulation.observedEvents.record('poll after a change');
  simulation.sendRequest(
    resubmits ? 'POST' : 'GET',
    resubmits ? '/submissions' : `/submissions/${id}`,
    resubmits ? writeJobSpec(spec) : undefined,
    (status, state) => checker.responseReceived(id, status, state, resubmits, stateWhenSent),
    host,
  );
}

/**
 * Reacts for `ms` whenever a job is first reported as accepted, done or cancelled, and whenever a job's last
 * task completes. Within milliseconds of the change, polls the job or repeats its submission at every
 * controller. With probability `cancelShare`, also cancels the job.
 */
export function pollAfterChanges(simulation: Simulation, cancelShare: number, ms: number): void {
  const { checker, clock, random } = simulation;
  const until = clock.now + ms;
  const pollAllControllers = (id: string): void => {
    if (clock.now > until) return;
    for (const host of simulation.hosts)
      for (let i = 0; i < REQUESTS_PER_CONTROLLER; i++)
        clock.after(random.between(0, REQUEST_WINDOW_MS), () => pollOnce(simulation, id, host));
    if (random.next() < cancelShare)
      clock.after(random.between(0, REQUEST_WINDOW_MS), () =>
        simulation.cancel(id, random.pick(simulation.hosts)),
      );
  };
  checker.onVisibleChange.push(pollAllControllers);
  checker.onLastTaskCompleted.push(pollAllControllers);
}
