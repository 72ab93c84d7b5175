import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { shrinking, type Scenario } from './scenario.js';
import type { Trouble } from './troubles.js';
import type { World } from './world.js';

/** Two troubles that meet, and what shows that they did. */
export interface Meeting {
  name: string;
  /** What the jobs of the day have in common; the rest is drawn. */
  jobs: Partial<JobSpec>;
  count: number;
  /** Where it is played, if not in the small deployment. */
  scenario?: Scenario;
  /** In seconds from when the first work runs; `between` draws. */
  troubles(between: (from: number, to: number) => number): Trouble[];
  /** Each must have happened at least once. */
  happened(w: World): Record<string, number>;
}

/** Work that has long to go, and of which all can run at one time. */
export const long: Partial<JobSpec> = {
  ...{ estimateS: 120, kind: 'array', tasks: 3, oneZone: false, spread: false },
  ...{ cpus: 1, gpus: 0, memoryGb: 1 },
};

/** Work of which a few jobs take all that a team may use. */
const atLimit: Partial<JobSpec> = {
  ...{ ...long, estimateS: 90, tasks: 10, gpus: 1, priority: 'normal', types: null },
  ...{ zone: null, spot: true },
};

/** One-task jobs that are soon done. */
const brief: Partial<JobSpec> = { ...long, tasks: 1, estimateS: 5 };

const leaders = (w: World): number => (w.said.get('elected leader') ?? 0) - 1;
const gaps = (w: World): number => w.said.get('lease renewed after a gap') ?? 0;
const cancelled = (w: World): number => w.rules.cancelledRunning.length;
const leasesLost = (w: World): number => w.leasesLost;

export const meetings: Meeting[] = [
  {
    name: 'cancelled while the leader alone is refused, then an outage longer than cancel_s',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'refused', who: 'leader', at: 0, for: between(3, 25) },
      { kind: 'cancelled', count: 6, elsewhere: true, at: between(0.2, 1.8) },
      { kind: 'outage', at: between(2, 4), for: between(46, 130) },
    ],
    happened: (w) => ({
      cancelled: w.happenings.count('cancelled while the leader alone is refused'),
      leasesLost: leasesLost(w),
    }),
  },
  {
    name: 'cancelled while the leader is refused and cut from its peers, then a shorter outage',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'refused', who: 'leader', at: 0, for: 2.5 },
      { kind: 'peers refused', at: 0, for: 60 },
      { kind: 'cancelled', count: 6, elsewhere: true, at: between(0.1, 0.8), hang: 8 },
      { kind: 'outage', at: 1.5, for: between(4, 18) },
      { kind: 'unwatched', who: 'leader', at: 0, for: 60 },
    ],
    happened: (w) => ({ cancelled: cancelled(w), gaps: gaps(w) + leaders(w) }),
  },
  {
    name: 'a leader whose renewals go through and whose watches do not',
    jobs: long,
    count: 14,
    troubles: () => [
      { kind: 'unwatched', who: 'leader', at: 0, for: 100 },
      { kind: 'peers refused', at: 0, for: 100 },
      { kind: 'cancelled', count: 6, elsewhere: true, at: 1 },
    ],
    happened: (w) => ({ cancelled: cancelled(w) }),
  },
  {
    name: 'a leader that stands still while jobs are called off elsewhere, and goes on',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'standing still', who: 'leader', at: 0, for: between(1, 2.5) },
      { kind: 'cancelled', count: 4, elsewhere: true, at: 0.2, hang: 15 },
      { kind: 'standing still', who: 'leader', at: 20, for: between(5, 40) },
      { kind: 'cancelled', count: 4, elsewhere: true, at: 21, hang: between(1, 20) },
      { kind: 'slow', at: 0, for: 60 },
    ],
    happened: (w) => ({ cancelled: cancelled(w), leaders: leaders(w) }),
  },
  {
    name: 'tasks that end far apart, and leaders that change meanwhile',
    jobs: { tasks: 3, kind: 'array', estimateS: 40 },
    count: 14,
    troubles: (between) => [
      { kind: 'ended', who: 'leader', back: 6, at: between(0, 5) },
      { kind: 'machines cut', share: 0.3, at: between(5, 10), for: between(5, 40) },
      { kind: 'ended', who: 'leader', back: between(0.1, 0.6), at: between(20, 30) },
    ],
    happened: (w) => ({ leaders: leaders(w) }),
  },
  {
    name: 'gangs of two and three, and leaders that change as they end',
    jobs: { tasks: 2, kind: 'gang', estimateS: 25, cpus: 1, gpus: 1, memoryGb: 1 },
    count: 14,
    troubles: (between) => [
      { kind: 'machines cut', share: 0.3, at: between(2, 10), for: between(5, 40) },
      { kind: 'ended', who: 'leader', back: 6, at: between(5, 20) },
      { kind: 'late reports', share: 0.3, at: 0, for: 60 },
      { kind: 'ended', who: 'leader', back: 0.3, at: between(25, 40) },
    ],
    happened: (w) => ({ leaders: leaders(w), copies: w.net.copies }),
  },
  {
    name: 'slow answers of the state service, refusal and outage while users cancel and ask',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'slow', at: 0, for: 60 },
      { kind: 'late writes', share: 0.5, at: 0, for: 20 },
      { kind: 'cancelled', count: 3, at: 1 },
      { kind: 'refused', who: 'leader', at: 5, for: between(3, 10) },
      { kind: 'cancelled', count: 3, at: 6, hang: 15 },
      { kind: 'outage', at: between(8, 12), for: between(46, 60) },
      { kind: 'cancelled', count: 3, at: 60 },
    ],
    happened: (w) => ({
      cancelled: cancelled(w),
      late: w.state.late.applied + w.state.late.refused,
    }),
  },
  {
    name: 'all controllers away for longer than lease_s',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'cancelled', count: 3, at: 0 },
      { kind: 'ended', who: 'all', back: between(21, 50), at: between(0.05, 1) },
      { kind: 'machines hang', share: 0.3, at: 0, for: between(15, 60) },
    ],
    happened: (w) => ({ leaders: leaders(w), leasesLost: leasesLost(w) }),
  },
  {
    name: 'a leader with its workers and users, without state service and peers',
    jobs: long,
    count: 14,
    troubles: (between) => [
      { kind: 'isolated', who: 'leader', at: 0, for: between(10, 60) },
      { kind: 'cancelled', count: 3, elsewhere: true, at: 1 },
      { kind: 'cancelled', count: 4, elsewhere: true, at: between(4, 8) },
      { kind: 'late reports', share: 0.3, at: 0, for: 30 },
    ],
    happened: (w) => ({ cancelled: cancelled(w), leaders: leaders(w), copies: w.net.copies }),
  },
  {
    name: 'commands and answers held up for seconds',
    jobs: { estimateS: 15 },
    count: 20,
    troubles: (between) =>
      [0, 15, 30, 45].flatMap((at): Trouble[] => [
        { kind: 'commands held', share: 0.4, at, for: between(2, 30) },
        { kind: 'answers held', share: 0.4, at: at + 3, for: between(2, 30) },
        { kind: 'cancelled', count: 2, at: at + 4, hang: between(1, 20) },
        { kind: 'jobs', count: 4, at: at + 5 },
      ]),
    happened: (w) => ({ cancelled: cancelled(w) }),
  },
  {
    name: 'more work than room',
    jobs: { estimateS: 30 },
    count: 60,
    troubles: () => [
      { kind: 'machines lost', share: 0.3, at: 5 },
      { kind: 'slow', at: 0, for: 60 },
    ],
    happened: (w) => ({ started: w.rules.started }),
  },
  {
    name: 'a team at its limit, a new leader, machines that cannot be asked, a cancellation',
    jobs: { estimateS: 100, team: 'red', kind: 'array', tasks: 10, gpus: 1, cpus: 1, memoryGb: 1 },
    count: 4,
    troubles: (between) => [
      { kind: 'machines cut', share: 0.5, at: 0, for: between(10, 50) },
      { kind: 'ended', who: 'leader', back: 6, at: between(0.2, 3) },
      { kind: 'cancelled', count: 2, at: between(1, 8) },
      { kind: 'machines hang', share: 0.3, at: between(5, 15), for: between(5, 40) },
    ],
    happened: (w) => ({ leaders: leaders(w), cancelled: cancelled(w) }),
  },
  {
    name: 'machines that reach no controller while commands reach them, and the reverse',
    jobs: { estimateS: 30 },
    count: 20,
    troubles: (between) => [
      { kind: 'machines mute', share: 0.6, at: 0, for: between(10, 40) },
      { kind: 'cancelled', count: 3, at: between(1, 10) },
      { kind: 'jobs', count: 6, at: 5 },
      { kind: 'machines deaf', share: 0.6, at: 30, for: between(10, 60) },
      { kind: 'jobs', count: 6, at: 35 },
      { kind: 'cancelled', count: 3, at: 36 },
    ],
    happened: (w) => ({
      cancelled: cancelled(w),
      leasesLost: leasesLost(w),
      commands: w.happenings.count('direct command to a mute machine'),
    }),
  },
  {
    name: 'old reports after newer ones, of earlier sessions and attempts, at new leaders',
    jobs: { estimateS: 15 },
    count: 25,
    troubles: (between) => [
      { kind: 'late reports', share: 0.5, at: 0, for: 90 },
      { kind: 'machines cut', share: 0.4, at: 5, for: between(21, 40) },
      { kind: 'ended', who: 'leader', back: 6, at: between(10, 20) },
      { kind: 'ended', who: 'leader', back: 0.4, at: between(40, 50) },
      { kind: 'ended', who: 'leader', back: 6, at: between(70, 80) },
      { kind: 'jobs', count: 10, at: 40 },
      { kind: 'jobs', count: 10, at: 75 },
    ],
    happened: (w) => ({ copies: w.net.copies, leaders: leaders(w), leasesLost: leasesLost(w) }),
  },
  {
    name: 'jobs bound to one zone lose machines',
    jobs: { estimateS: 40, oneZone: true, spread: false, zone: null, types: null, tasks: 3 },
    count: 14,
    troubles: (between) => [
      { kind: 'machines cut', share: 0.5, at: 3, for: between(20, 60) },
      { kind: 'machines lost', share: 0.2, at: between(5, 20) },
      { kind: 'ended', who: 'leader', back: 6, at: between(10, 25) },
    ],
    happened: (w) => ({ leaders: leaders(w) }),
  },
  {
    name: 'controllers hand over and back, all end, one returns',
    jobs: { estimateS: 40 },
    count: 16,
    troubles: (between) => [
      { kind: 'no workers', who: 'leader', at: 0, for: 20 },
      { kind: 'no workers', who: 'leader', at: 25, for: 15 },
      { kind: 'ended', who: 'others', back: 30, at: 45 },
      { kind: 'ended', who: 'leader', back: between(0.1, 1), at: between(45, 50) },
      { kind: 'cancelled', count: 3, at: 46 },
    ],
    happened: (w) => ({ leaders: leaders(w) - 1 }),
  },
  {
    name: 'a leader ends while machines cannot be reached or do not hear the next one',
    jobs: long,
    count: 12,
    troubles: (between) => [
      { kind: 'machines cut', share: 0.4, at: 0, for: between(25, 50) },
      { kind: 'machines deaf', share: 0.5, at: 1, for: between(30, 50) },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: 2 },
      { kind: 'jobs', count: 6, at: 10 },
    ],
    happened: (w) => ({ leaders: leaders(w), leasesLost: leasesLost(w) }),
  },
  {
    name: 'transactions carried out late, after newer ones',
    jobs: { estimateS: 15 },
    count: 20,
    troubles: (between) => [
      { kind: 'late writes', share: 0.4, at: 0, for: 60 },
      { kind: 'cancelled', count: 3, at: 2 },
      { kind: 'ended', who: 'leader', back: 0.3, at: between(10, 15) },
      { kind: 'jobs', count: 8, at: 12 },
      { kind: 'refused', who: 'leader', at: 25, for: between(2, 6) },
      { kind: 'cancelled', count: 3, at: 26 },
      { kind: 'ended', who: 'leader', back: 6, at: 40 },
      { kind: 'jobs', count: 8, at: 45 },
    ],
    happened: (w) => ({
      applied: w.state.late.applied,
      refused: w.state.late.refused,
      leaders: leaders(w),
    }),
  },
  {
    name: 'a zone with workers and the leader is cut off for longer than lease_s',
    jobs: long,
    count: 16,
    troubles: (between) => [
      { kind: 'zone cut', zone: 'a', inside: 'leader', at: 0, for: between(21, 70) },
      { kind: 'cancelled', count: 5, elsewhere: true, at: between(4, 12) },
      { kind: 'jobs', count: 6, at: 8 },
    ],
    happened: (w) => ({ leaders: leaders(w), cancelled: cancelled(w), lost: leasesLost(w) }),
  },
  {
    name: 'cancellations, questions and repeats at the end of the last task',
    jobs: { estimateS: 10 },
    count: 25,
    troubles: () => [
      { kind: 'cancelled at the end', share: 0.6, at: 0, for: 90 },
      { kind: 'odd requests', at: 0, for: 90 },
    ],
    happened: (w) => ({ done: w.rules.endedAs('done'), cancelled: w.rules.endedAs('cancelled') }),
  },
  {
    name: 'services lose replicas, machines and leaders, and are called off',
    jobs: {
      ...{
        kind: 'service',
        estimateS: 0,
        tasks: 3,
        oneZone: false,
        spread: false,
        deadlineS: null,
      },
      ...{ cpus: 1, gpus: 0, memoryGb: 1, priority: 'production', checkpointS: 0, saveS: 0 },
    },
    count: 8,
    troubles: (between) => [
      { kind: 'machines lost', share: 0.3, at: between(1, 5) },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: 6 },
      { kind: 'cancelled', count: 2, at: 10, hang: 15 },
      { kind: 'machines cut', share: 0.3, at: 20, for: between(10, 40) },
      { kind: 'late reports', share: 0.4, at: 0, for: 100 },
      { kind: 'jobs', count: 10, at: 30 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: 50 },
      { kind: 'outage', at: 70, for: between(5, 50) },
      { kind: 'cancelled', count: 1, at: 75 },
    ],
    happened: (w) => ({
      ended: w.replicasEnded,
      leaders: leaders(w),
      cancelled: cancelled(w),
      copies: w.net.copies,
    }),
  },
  {
    name: 'the limits of the state service fall amid commits, takeovers and an outage',
    scenario: shrinking,
    jobs: { estimateS: 15, gpus: 0, cpus: 1, memoryGb: 1 },
    count: 40,
    troubles: (between) => [
      { kind: 'jobs', count: 30, at: between(0, 2) },
      { kind: 'ended', who: 'leader', back: between(0.2, 3), at: between(1, 3) },
      { kind: 'limits fall', at: between(2, 5) },
      { kind: 'late writes', share: 0.3, at: 0, for: 20 },
      { kind: 'cancelled', count: 4, at: 6 },
      { kind: 'cancelled', count: 4, at: 33 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(8, 12) },
      { kind: 'outage', at: 15, for: between(3, 12) },
      { kind: 'jobs', count: 30, at: 30 },
      { kind: 'ended', who: 'all', back: 1, at: 35 },
    ],
    happened: (w) => ({
      leaders: leaders(w) - 1,
      cancelled: cancelled(w),
      withinLimits: w.state.tooLarge === 0 ? 1 : 0,
    }),
  },
  {
    name: 'ten leaders in two minutes, also inside an outage',
    jobs: long,
    count: 16,
    troubles: (between) => [
      { kind: 'elections', at: 0, for: 110 },
      { kind: 'outage', at: between(20, 60), for: between(5, 40) },
      { kind: 'cancelled', count: 4, at: between(3, 15) },
      { kind: 'jobs', count: 6, at: 60 },
    ],
    happened: (w) => ({ leaders: leaders(w) - 4, cancelled: cancelled(w) }),
  },
  {
    name: 'a zone with workers and a follower is cut off for longer than lease_s',
    jobs: long,
    count: 16,
    troubles: (between) => [
      { kind: 'zone cut', zone: 'a', inside: 'follower', at: 0, for: between(21, 70) },
      { kind: 'cancelled', count: 5, at: between(4, 12) },
      { kind: 'jobs', count: 6, at: 8 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(5, 15) },
    ],
    happened: (w) => ({ leaders: leaders(w), cancelled: cancelled(w), lost: leasesLost(w) }),
  },
  {
    name: 'new machines up at once and put to work while writes lag, and the leader ends',
    jobs: { ...long, estimateS: 30, cpus: 4, gpus: 1 },
    count: 10,
    troubles: (between) => [
      { kind: 'quick boots', at: 0, for: 100 },
      { kind: 'machines lost', share: 0.4, at: 0 },
      { kind: 'slow', at: 0, for: 100 },
      { kind: 'late writes', share: 0.2, at: 0, for: 60 },
      { kind: 'jobs', count: 12, at: 1 },
      { kind: 'ended beside new machines', back: between(0.1, 6), at: 0, for: 60 },
      { kind: 'jobs', count: 12, at: 30 },
      { kind: 'machines lost', share: 0.4, at: 35 },
    ],
    happened: (w) => ({
      leaders: leaders(w),
      ended: w.happenings.count('leader ended beside a new machine'),
      work: w.happenings.count('work on a new machine'),
    }),
  },
  {
    name: 'every team at its limit, cancellations whose machines are cut or hang, a new leader',
    jobs: { ...atLimit, team: 'red' },
    count: 3,
    troubles: (between) => [
      { kind: 'jobs', count: 4, like: { ...atLimit, team: 'blue' }, at: 0 },
      { kind: 'cancelled', count: 2, cut: between(5, 50), at: 45 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(44.5, 47) },
      { kind: 'jobs', count: 2, like: { ...atLimit, team: 'red' }, at: 46 },
      { kind: 'jobs', count: 2, like: { ...atLimit, team: 'blue' }, at: 46 },
      { kind: 'cancelled', count: 2, hang: between(5, 40), at: 75 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(74.5, 77) },
    ],
    happened: (w) => ({
      leaders: leaders(w),
      cancelled: w.happenings.count('cancelled with every team at its limit'),
      ended: w.happenings.count('leader ended with every team at its limit'),
    }),
  },
  {
    name: 'users ask at all nodes and repeat right after each answer, some cancel at once',
    jobs: { estimateS: 10 },
    count: 8,
    troubles: () => [
      { kind: 'close looks', cancelled: 0.15, at: 0, for: 120 },
      { kind: 'jobs', count: 12, at: 1 },
      { kind: 'slow', at: 20, for: 60 },
      { kind: 'unwatched', who: 'others', at: 25, for: 50 },
      { kind: 'jobs', count: 12, at: 30 },
      { kind: 'ended', who: 'leader', back: 1, at: 40 },
      { kind: 'peers refused', at: 50, for: 20 },
      { kind: 'jobs', count: 8, at: 55 },
    ],
    happened: (w) => ({
      looks: w.happenings.count('close look'),
      done: w.rules.endedAs('done'),
      cancelled: w.rules.endedAs('cancelled'),
    }),
  },
  {
    name: 'one-task jobs four a second, a quarter of them cancelled',
    jobs: brief,
    count: 4,
    troubles: (between) => [
      { kind: 'stream', perSecond: 4, cancelled: 0.25, like: brief, at: 0, for: 120 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(30, 90) },
    ],
    happened: (w) => ({
      leaders: leaders(w),
      done: w.rules.endedAs('done') - 250,
      cancelled: w.rules.endedAs('cancelled') - 40,
    }),
  },
  {
    name: 'transactions whose answers alone are lost, while other nodes read what they wrote',
    jobs: { estimateS: 10 },
    count: 10,
    troubles: (between) => [
      { kind: 'lost answers', share: 0.3, at: 0, for: 80 },
      { kind: 'close looks', cancelled: 0.15, at: 0, for: 100 },
      { kind: 'jobs', count: 10, at: 1 },
      { kind: 'cancelled', count: 3, at: between(5, 15) },
      { kind: 'jobs', count: 10, at: 25 },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(30, 40) },
    ],
    happened: (w) => ({
      read: w.state.readUnanswered,
      looks: w.happenings.count('close look'),
      cancelled: w.rules.endedAs('cancelled'),
    }),
  },
  {
    name: "cancellations while one controller's work changes hands",
    jobs: long,
    count: 16,
    troubles: () => [
      { kind: 'cancelled at hand-overs', count: 2, at: 0, for: 120 },
      { kind: 'no workers', who: 'leader', at: 0, for: 20 },
      { kind: 'no workers', who: 'leader', at: 35, for: 15 },
      { kind: 'jobs', count: 6, like: long, at: 40 },
      { kind: 'no workers', who: 'leader', at: 65, for: 15 },
    ],
    happened: (w) => ({
      leaders: leaders(w) - 1,
      cancelled: w.happenings.count('cancelled at a hand-over'),
    }),
  },
  {
    name: "direct commands of ended and deposed leaders arrive after the next one's",
    jobs: { estimateS: 12 },
    count: 16,
    troubles: (between) => [
      { kind: 'late commands', share: 0.4, at: 0, for: 90 },
      { kind: 'jobs', count: 8, at: 1 },
      { kind: 'ended', who: 'leader', back: 0.3, at: 3 },
      { kind: 'cancelled', count: 3, at: 4 },
      { kind: 'jobs', count: 8, at: 20 },
      { kind: 'isolated', who: 'leader', at: between(21, 23), for: 25 },
      { kind: 'cancelled', count: 3, elsewhere: true, at: 24 },
      { kind: 'jobs', count: 8, at: 55 },
      { kind: 'ended', who: 'leader', back: between(0.1, 6), at: between(56, 58) },
    ],
    happened: (w) => ({
      late: w.net.commandsLate,
      older: w.happenings.count('direct command of an older leader'),
      leaders: leaders(w) - 1,
    }),
  },
  ...[0, 4].map((after): Meeting => ({
    name: `reports kept for the next leader, which arrive ${after} s after its election`,
    jobs: { estimateS: 12 },
    count: 16,
    troubles: (between) => [
      { kind: 'reports for the next leader', share: 0.5, after, at: 0, for: 120 },
      { kind: 'jobs', count: 8, at: 2 },
      { kind: 'ended', who: 'leader', back: 0.3, at: between(8, 12) },
      { kind: 'machines cut', share: 0.3, at: 15, for: between(5, 30) },
      { kind: 'ended', who: 'leader', back: 6, at: between(25, 35) },
      { kind: 'jobs', count: 8, at: 36 },
      { kind: 'cancelled', count: 3, at: 40 },
      { kind: 'isolated', who: 'leader', at: between(45, 50), for: 20 },
    ],
    happened: (w) => ({ copies: w.net.copies - 20, leaders: leaders(w) - 1 }),
  })),
  {
    name: 'all users ask during an outage',
    jobs: { estimateS: 25 },
    count: 20,
    troubles: (between) => [
      { kind: 'cancelled', count: 3, at: 1 },
      { kind: 'outage', at: between(2, 5), for: between(20, 60) },
      { kind: 'everyone asks', at: 0, for: 70 },
      { kind: 'cancelled', count: 3, at: 10 },
      { kind: 'ended', who: 'others', back: 0.5, at: 15 },
      { kind: 'jobs', count: 6, at: 18 },
    ],
    happened: (w) => ({ asked: w.happenings.count('asked in an outage') - 200 }),
  },
  {
    name: 'machines and processes back within a second, in the midst of elections too',
    jobs: { estimateS: 25 },
    count: 16,
    troubles: (between) => [
      { kind: 'machines restart', share: 0.5, back: between(0.1, 0.9), at: 0 },
      { kind: 'elections', at: 1, for: 30 },
      { kind: 'machines restart', share: 0.5, back: between(0.1, 0.9), at: 10 },
      { kind: 'cancelled', count: 3, at: 11 },
      { kind: 'jobs', count: 8, at: 20 },
      { kind: 'ended', who: 'all', back: between(0.1, 0.9), at: 40 },
      { kind: 'machines restart', share: 0.5, back: between(0.1, 0.9), at: 40 },
    ],
    happened: (w) => ({ leaders: leaders(w) - 3, cancelled: cancelled(w) }),
  },
  {
    name: 'urgent and other work beyond the room over slow links',
    jobs: { estimateS: 25 },
    count: 30,
    troubles: () => [
      { kind: 'slow links', at: 0, for: 90 },
      { kind: 'jobs', count: 15, like: { priority: 'production', estimateS: 25 }, at: 5 },
      { kind: 'cancelled', count: 4, at: 20 },
      { kind: 'machines lost', share: 0.3, at: 25 },
    ],
    happened: (w) => ({ started: w.rules.started, cancelled: cancelled(w) }),
  },
  {
    name: 'arrays bound to one zone lose machines and a leader',
    jobs: { ...long, estimateS: 40, zone: 'a' },
    count: 14,
    troubles: (between) => [
      { kind: 'machines cut', share: 0.4, at: 2, for: between(20, 60) },
      { kind: 'machines lost', share: 0.3, at: between(4, 10) },
      { kind: 'ended', who: 'leader', back: between(0.2, 6), at: between(8, 20) },
      { kind: 'cancelled', count: 3, at: between(20, 25) },
    ],
    happened: (w) => ({ leaders: leaders(w), cancelled: cancelled(w) }),
  },
];
