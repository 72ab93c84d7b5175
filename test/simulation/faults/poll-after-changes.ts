/** Polls of every controller right after a change of a job became visible. */
import { writeJobSpec } from '../../../src/controller/wire/jobs.js';
import type { Simulation } from '../simulation.js';

/** Requests to each controller after a change, and within what time they are sent. */
const REQUESTS_PER_CONTROLLER = 3;
const REQUEST_WINDOW_MS = 40;
/** Share of the requests that are repeated submissions. */
const RESUBMISSION_SHARE = 0.3;

/** Polls a job at one controller, or submits it once more; the rules judge the response. */
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
 * For a time users poll every controller within milliseconds after a job was accepted, ended or
 * cancelled, and repeat its submission; a share of them cancels the job at that moment.
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
