import { writeJob } from '../../src/controller/wire/jobs.js';
import type { World } from './world.js';

/** Questions to each node after something new was told, and within what time they are sent. */
const QUESTIONS_PER_NODE = 3;
const WITHIN_MS = 40;
/** Share of the questions that are repeated submissions. */
const REPEATED_SHARE = 0.3;

/** Asks one node about a job, by a poll or a repeated submission; the rules judge the answer. */
function look(world: World, id: string, host: string): void {
  const { rules, sim } = world;
  const spec = world.users.specOf(id);
  if (spec === undefined) return;
  const repeated = sim.random() < REPEATED_SHARE;
  const before = rules.standing(id);
  world.happenings.note('close look');
  world.ask(
    repeated ? 'POST' : 'GET',
    repeated ? '/submissions' : `/submissions/${id}`,
    repeated ? writeJob(spec) : undefined,
    (status, state) => rules.answered(id, status, state, repeated, before),
    host,
  );
}

/**
 * For a time users ask at every node within milliseconds after a job was accepted, ended or
 * cancelled, and repeat its submission; a share of them calls the job off at that moment.
 */
export function closeLooks(world: World, cancelShare: number, ms: number): void {
  const { rules, sim } = world;
  const until = sim.now + ms;
  const lookClosely = (id: string): void => {
    if (sim.now > until) return;
    for (const host of world.hosts)
      for (let i = 0; i < QUESTIONS_PER_NODE; i++)
        sim.after(sim.between(0, WITHIN_MS), () => look(world, id, host));
    if (sim.random() < cancelShare)
      sim.after(sim.between(0, WITHIN_MS), () => world.cancel(id, sim.pick(world.hosts)));
  };
  rules.onNews.push(lookClosely);
  rules.onLastTask.push(lookClosely);
}
