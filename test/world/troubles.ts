import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { closeLooks } from './close-looks.js';
import { NEW_MACHINE_MS } from './happenings.js';
import type { World } from './world.js';

/** Whom a trouble is about, as of when it begins. */
type Who = 'leader' | 'others' | 'all';

interface Base {
  /** When it begins and how long it lasts, in seconds. */
  at: number;
  for?: number;
}

/** What a scripted day may bring; seconds, and shares of the machines. */
export type Trouble = Base &
  (
    | { kind: 'refused'; who: Who }
    | { kind: 'unwatched'; who: Who }
    | { kind: 'limits fall' | 'outage' | 'slow' | 'peers refused' | 'elections' | 'odd requests' }
    | { kind: 'isolated' | 'standing still' | 'no workers'; who: Who }
    | { kind: 'quick boots' | 'everyone asks' | 'slow links' }
    | { kind: 'ended'; who: Who; back: number }
    /** The leader ends as machines that were just rented get to work. */
    | { kind: 'ended beside new machines'; back: number }
    | { kind: 'late writes' | 'lost answers' | 'late reports' | 'late commands'; share: number }
    /** Copies of reports are kept, and arrive everywhere so long after the next election. */
    | { kind: 'reports for the next leader'; share: number; after: number }
    | { kind: 'machines cut' | 'machines deaf' | 'machines mute' | 'machines lost'; share: number }
    | { kind: 'machines restart'; share: number; back: number }
    | { kind: 'machines hang' | 'commands held' | 'answers held'; share: number }
    /** Where controllers are spread over zones it is the zone of that controller, with all in it. */
    | { kind: 'zone cut'; zone: string; inside: 'leader' | 'follower' | 'single' }
    /** The lead passes to this controller: all others end, and are back after a time. */
    | { kind: 'led from'; host: string; back: number }
    | { kind: 'cancelled'; count: number; hang?: number; cut?: number; elsewhere?: boolean }
    | { kind: 'cancelled at the end'; share: number }
    /** Jobs are cancelled a moment after a leader has given up the lead. */
    | { kind: 'cancelled at hand-overs'; count: number }
    | { kind: 'close looks'; cancelled: number }
    /** So many jobs a second, a share of them cancelled. */
    | { kind: 'stream'; perSecond: number; cancelled: number; like: Partial<JobSpec> }
    | { kind: 'jobs'; count: number; like?: Partial<JobSpec> }
  );

function hostsOf(world: World, who: Who): string[] {
  const { leader, hosts } = world;
  if (who === 'all') return [...hosts];
  return hosts.filter((h) => (who === 'leader') === (h === leader));
}

/** Workers on a share of the machines, at least one. */
function some(world: World, share: number): World['workers'] {
  const all = world.workers;
  const chosen = all.filter(() => world.sim.random() < share);
  return chosen.length > 0 ? chosen : all.slice(0, 1);
}

/** Calls off jobs that run, within a fifth of a second; their machines may hang or be cut at that moment. */
function cancel(world: World, t: Trouble & { kind: 'cancelled' }): void {
  const { sim } = world;
  const hangMs = (t.hang ?? 0) * 1000;
  const cutMs = (t.cut ?? 0) * 1000;
  const others = hostsOf(world, 'others');
  for (const id of world.rules.running().slice(0, t.count)) {
    const host = t.elsewhere === true ? sim.pick(others) : undefined;
    sim.after(sim.between(0, 200), () => {
      for (const worker of world.workersOf(id)) {
        if (hangMs > 0) worker.hang(hangMs);
        if (cutMs > 0) world.cutMachine(worker, cutMs);
      }
      world.cancel(id, host);
    });
  }
}

/** Ends the leader a moment after a new machine is up, or has been given its first task. */
function endBesideNewMachines(world: World, backMs: number, ms: number): void {
  const { sim, cloud, rules } = world;
  const until = sim.now + ms;
  let planned = false;
  const end = (withinMs: number): void => {
    if (planned || sim.now > until) return;
    planned = true;
    sim.after(sim.between(0, withinMs), () => {
      planned = false;
      const { leader } = world;
      if (leader === null) return;
      world.happenings.note('leader ended beside a new machine');
      world.kill(leader, backMs);
    });
  };
  cloud.onUp.push(() => end(1500));
  rules.onStart.push(({ machine }) => {
    if (cloud.ageMs(machine) < NEW_MACHINE_MS) end(300);
  });
}

/** Keeps copies of reports; they arrive at every node after the next election. */
function keepReports(world: World, share: number, afterMs: number, ms: number): void {
  const { net, sim } = world;
  const until = sim.now + ms;
  net.keptReports = share;
  sim.after(ms, () => {
    net.keptReports = 0;
  });
  world.onLog.push((text) => {
    if (text === 'elected leader' && sim.now <= until)
      net.deliverKept(
        world.hosts.map((host) => world.shared.apiOf(host)),
        afterMs,
      );
  });
}

/** Calls off running jobs in the seconds after a leader has given up the lead. */
function cancelAtHandOvers(world: World, count: number, ms: number): void {
  const { sim, rules } = world;
  const until = sim.now + ms;
  world.onLog.push((text) => {
    if (text !== 'no longer leader' || sim.now > until) return;
    for (const id of rules.running().slice(0, count))
      sim.after(sim.between(0, 2500), () => world.cancel(id, sim.pick(world.hosts)));
  });
}

/** Jobs come at a steady rate; a share of them is cancelled before, while or after they run. */
function stream(world: World, t: Trouble & { kind: 'stream' }): void {
  const { sim } = world;
  const everyMs = 1000 / t.perSecond;
  for (let at = 0; at < (t.for ?? 0) * 1000; at += everyMs)
    sim.after(at, () => {
      const cancelAfterMs = sim.random() < t.cancelled ? sim.between(0, 12_000) : null;
      world.user(world.job(t.like), cancelAfterMs);
    });
}

function cutZone(world: World, t: Trouble & { kind: 'zone cut' }, ms: number): void {
  const host = hostsOf(world, t.inside === 'leader' ? 'leader' : 'others')[0] ?? '';
  const site = t.inside === 'single' ? t.zone : world.siteOf(host);
  if (site === undefined) return world.cutZone(t.zone, [host], ms);
  const inside = world.hosts.filter((h) => world.siteOf(h) === site);
  world.cutZone(site, inside, ms);
  observeZoneCut(world, inside, ms);
}

/** Notes who leads, and that work goes on, while a zone is cut off. */
function observeZoneCut(world: World, inside: readonly string[], ms: number): void {
  const { sim, happenings, rules } = world;
  const until = sim.now + ms;
  if (inside.length === 1 && world.leader === inside[0])
    happenings.note('leader alone in its zone');
  world.onLog.push((text) => {
    if (text !== 'elected leader' || sim.now > until) return;
    sim.after(0, () => {
      const leads = world.hosts.some((h) => world.leads(h) && !inside.includes(h));
      if (leads) happenings.note('leader elected outside a cut zone');
    });
  });
  rules.onStart.push(() => {
    if (sim.now <= until) happenings.note('work while a zone is cut');
  });
}

/** Brings the troubles about, each at its time from now. */
export function bring(world: World, troubles: readonly Trouble[]): void {
  for (const t of troubles) world.sim.after(t.at * 1000, () => begin(world, t));
}

function begin(world: World, t: Trouble): void {
  const ms = (t.for ?? 0) * 1000;
  const { sim, net, state } = world;
  switch (t.kind) {
    case 'refused':
      return hostsOf(world, t.who).forEach((h) => state.refuse(h, ms));
    case 'unwatched':
      return hostsOf(world, t.who).forEach((h) => state.refuseWatches(h, ms));
    case 'outage':
      return state.outage(ms);
    case 'limits fall':
      return state.lower(world.limitsToCome);
    case 'slow':
      return state.slow(ms);
    case 'peers refused':
      return world.refusePeers(ms);
    case 'elections':
      return world.killElected(10, ms);
    case 'isolated':
      return hostsOf(world, t.who).forEach((h) => world.isolate(h, ms));
    case 'standing still':
      return hostsOf(world, t.who).forEach((h) => world.freeze(h, ms));
    case 'no workers':
      return hostsOf(world, t.who).forEach((h) => world.cutFromWorkers(h, ms));
    case 'ended':
      return hostsOf(world, t.who).forEach((h) => world.kill(h, t.back * 1000));
    case 'quick boots':
      return world.cloud.bootQuickly(ms);
    case 'everyone asks':
      return world.everyoneAsks(1000, ms);
    case 'slow links':
      net.latencyMs = 400;
      sim.after(ms, () => {
        net.latencyMs = 2;
      });
      return;
    case 'ended beside new machines':
      return endBesideNewMachines(world, t.back * 1000, ms);
    case 'lost answers':
      return state.loseAnswers(t.share, ms);
    case 'late commands':
      net.lateCommands = t.share;
      sim.after(ms, () => {
        net.lateCommands = 0;
      });
      return;
    case 'reports for the next leader':
      return keepReports(world, t.share, t.after * 1000, ms);
    case 'machines restart':
      return some(world, t.share).forEach((w) => w.restart(t.back * 1000));
    case 'cancelled at hand-overs':
      return cancelAtHandOvers(world, t.count, ms);
    case 'close looks':
      return closeLooks(world, t.cancelled, ms);
    case 'stream':
      return stream(world, t);
    case 'late writes':
      return state.delayWrites(t.share, ms);
    case 'late reports':
      net.copiedReports = t.share;
      sim.after(ms, () => {
        net.copiedReports = 0;
      });
      return;
    case 'machines cut':
      return world.cutMachines(t.share, ms);
    case 'machines deaf':
      return some(world, t.share).forEach((w) => world.deafen(w, ms, 'reset'));
    case 'machines mute':
      return some(world, t.share).forEach((w) => w.mute(ms));
    case 'machines lost':
      return some(world, t.share).forEach((w) => w.die());
    case 'machines hang':
      return some(world, t.share).forEach((w) => w.hang(ms));
    case 'commands held':
      return some(world, t.share).forEach((w) => world.deafen(w, ms, 'hold'));
    case 'answers held':
      return some(world, t.share).forEach((w) => world.hush(w, ms));
    case 'zone cut':
      return cutZone(world, t, ms);
    case 'led from':
      return world.endAllBut(t.host, t.back * 1000);
    case 'cancelled':
      return cancel(world, t);
    case 'cancelled at the end': {
      const until = sim.now + ms;
      world.rules.onLastTask.push((id) => {
        if (sim.now <= until && sim.random() < t.share) world.cancel(id);
      });
      return;
    }
    case 'odd requests':
      return world.oddRequests(ms);
    case 'jobs':
      for (let i = 0; i < t.count; i++) world.user(world.job(t.like ?? {}), null);
  }
}
