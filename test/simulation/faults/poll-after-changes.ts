/** Questions at every node right after something new was told of a job. */
import { writeJobSpec } from '../../../src/controller/wire/jobs.js';
import type { Simulation } from '../simulation.js';

/** Questions to each node after something new was told, and within what time they are sent. */
const QUESTIONS_PER_NODE = 3;
const WITHIN_MS = 40;
/** Share of the questions that are repeated submissions. */
const REPEATED_SHARE = 0.3;

/** Asks one node about a job, by a poll or a repeated submission; the rules judge the answer. */
function look(simulation: Simulation, id: string, host: string): void {
  const { checker, random } = simulation;
  const spec = simulation.users.specOf(id);
  if (spec === undefined) return;
  const repeated = random.next() < REPEATED_SHARE;
  const before = checker.visibleState(id);
  simulation.observedEvents.record('poll after a change');
  simulation.sendRequest(
    repeated ? 'POST' : 'GET',
    repeated ? '/submissions' : `/submissions/${id}`,
    repeated ? writeJobSpec(spec) : undefined,
    (status, state) => checker.responseReceived(id, status, state, repeated, before),
    host,
  );
}

/**
 * For a time users ask at every node within milliseconds after a job was accepted, ended or
 * cancelled, and repeat its submission; a share of them calls the job off at that moment.
 */
export function pollAfterChanges(simulation: Simulation, cancelShare: number, ms: number): void {
  const { checker, clock, random } = simulation;
  const until = clock.now + ms;
  const lookClosely = (id: string): void => {
    if (clock.now > until) return;
    for (const host of simulation.hosts)
      for (let i = 0; i < QUESTIONS_PER_NODE; i++)
        clock.after(random.between(0, WITHIN_MS), () => look(simulation, id, host));
    if (random.next() < cancelShare)
      clock.after(random.between(0, WITHIN_MS), () =>
        simulation.cancel(id, random.pick(simulation.hosts)),
      );
  };
  checker.onVisibleChange.push(lookClosely);
  checker.onLastTaskCompleted.push(lookClosely);
}
