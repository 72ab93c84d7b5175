/** Faults that a scenario injects at given times. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { pollAfterChanges } from './poll-after-changes.js';
import { NEW_MACHINE_MS } from './observed-events.js';
import { sendUnusualRequests } from './unusual-requests.js';
import type { Simulation } from '../simulation.js';

/** Whom a fault is about, as of when it begins. */
type Who = 'leader' | 'others' | 'all';

interface Base {
  /** When it begins and how long it lasts, in seconds. */
  at: number;
  for?: number;
}

/** What a scripted day may bring; seconds, and shares of the machines. */
export type Fault = Base &
  (
    | { kind: 'refused'; who: Who }
    | { kind: 'unwatched'; who: Who }
    | { kind: 'limits fall' | 'outage' | 'slow' | 'peers refused' | 'elections' | 'odd requests' }
    | { kind: 'isolated' | 'standing still' | 'no workers'; who: Who }
    | { kind: 'quick boots' | 'everyone asks' | 'slow links' }
    | { kind: 'ended'; who: Who; restartAfter: number }
    /** The leader ends as machines that were just rented get to work. */
    | { kind: 'ended beside new machines'; restartAfter: number }
    | { kind: 'late writes' | 'lost answers' | 'late reports' | 'late commands'; share: number }
    /** Copies of reports are kept, and arrive everywhere so long after the next election. */
    | { kind: 'reports for the next leader'; share: number; after: number }
    | { kind: 'machines cut' | 'machines deaf' | 'machines mute' | 'machines lost'; share: number }
    | { kind: 'machines restart'; share: number; restartAfter: number }
    | { kind: 'machines hang' | 'commands held' | 'answers held'; share: number }
    /** Where controllers are spread over zones it is the zone of that controller, with all in it. */
    | { kind: 'zone cut'; zone: string; inside: 'leader' | 'follower' | 'single' }
    /** The lead passes to this controller: all others end, and are back after a time. */
    | { kind: 'led from'; host: string; restartAfter: number }
    | { kind: 'cancelled'; count: number; hang?: number; cut?: number; elsewhere?: boolean }
    | { kind: 'cancelled at the end'; share: number }
    /** Jobs are cancelled a moment after a leader has given up the lead. */
    | { kind: 'cancelled at hand-overs'; count: number }
    | { kind: 'close looks'; cancelled: number }
    /** So many jobs a second, a share of them cancelled. */
    | { kind: 'stream'; perSecond: number; cancelled: number; template: Partial<JobSpec> }
    | { kind: 'jobs'; count: number; template?: Partial<JobSpec> }
  );

function hostsOf(simulation: Simulation, who: Who): string[] {
  const { leader, hosts } = simulation;
  if (who === 'all') return [...hosts];
  return hosts.filter((h) => (who === 'leader') === (h === leader));
}

/** Workers on a share of the machines, at least one. */
function some(simulation: Simulation, share: number): Simulation['workers'] {
  const all = simulation.workers;
  const chosen = all.filter(() => simulation.random.next() < share);
  return chosen.length > 0 ? chosen : all.slice(0, 1);
}

/** Calls off jobs that run, within a fifth of a second; their machines may hang or be cut at that moment. */
function cancel(simulation: Simulation, t: Fault & { kind: 'cancelled' }): void {
  const { clock, random } = simulation;
  const hangMs = (t.hang ?? 0) * 1000;
  const cutMs = (t.cut ?? 0) * 1000;
  const others = hostsOf(simulation, 'others');
  for (const id of simulation.checker.runningJobs().slice(0, t.count)) {
    const host = t.elsewhere === true ? random.pick(others) : undefined;
    clock.after(random.between(0, 200), () => {
      for (const worker of simulation.workersOf(id)) {
        if (hangMs > 0) worker.hang(hangMs);
        if (cutMs > 0) simulation.connectionFaults.cutMachine(worker, cutMs);
      }
      simulation.cancel(id, host);
    });
  }
}

/** Ends the leader a moment after a new machine is up, or has been given its first task. */
function endBesideNewMachines(simulation: Simulation, backMs: number, ms: number): void {
  const { clock, random, cloud, checker } = simulation;
  const until = clock.now + ms;
  let planned = false;
  const end = (withinMs: number): void => {
    if (planned || clock.now > until) return;
    planned = true;
    clock.after(random.between(0, withinMs), () => {
      planned = false;
      const { leader } = simulation;
      if (leader === null) return;
      simulation.observedEvents.record('leader ended beside a new machine');
      simulation.kill(leader, backMs);
    });
  };
  cloud.onBoot.push(() => end(1500));
  checker.onTaskStart.push(({ machine }) => {
    if (cloud.ageMs(machine) < NEW_MACHINE_MS) end(300);
  });
}

/** Keeps copies of reports; they arrive at every node after the next election. */
function keepReports(simulation: Simulation, share: number, afterMs: number, ms: number): void {
  const { network, clock } = simulation;
  const until = clock.now + ms;
  network.retainedHeartbeats = share;
  clock.after(ms, () => {
    network.retainedHeartbeats = 0;
  });
  simulation.onLog.push((text) => {
    if (text === 'elected leader' && clock.now <= until)
      network.deliverRetained(
        simulation.hosts.map((host) => simulation.apiOf(host)),
        afterMs,
      );
  });
}

/** Calls off running jobs in the seconds after a leader has given up the lead. */
function cancelAtHandOvers(simulation: Simulation, count: number, ms: number): void {
  const { clock, random, checker } = simulation;
  const until = clock.now + ms;
  simulation.onLog.push((text) => {
    if (text !== 'no longer leader' || clock.now > until) return;
    for (const id of checker.runningJobs().slice(0, count))
      clock.after(random.between(0, 2500), () =>
        simulation.cancel(id, random.pick(simulation.hosts)),
      );
  });
}

/** Jobs come at a steady rate; a share of them is cancelled before, while or after they run. */
function stream(simulation: Simulation, t: Fault & { kind: 'stream' }): void {
  const { clock, random } = simulation;
  const everyMs = 1000 / t.perSecond;
  for (let at = 0; at < (t.for ?? 0) * 1000; at += everyMs)
    clock.after(at, () => {
      const cancelAfterMs = random.next() < t.cancelled ? random.between(0, 12_000) : null;
      simulation.submit(simulation.jobWith(t.template), cancelAfterMs);
    });
}

function cutZone(simulation: Simulation, t: Fault & { kind: 'zone cut' }, ms: number): void {
  const host = hostsOf(simulation, t.inside === 'leader' ? 'leader' : 'others')[0] ?? '';
  const site = t.inside === 'single' ? t.zone : simulation.zoneOf(host);
  if (site === undefined) return simulation.connectionFaults.cutZone(t.zone, [host], ms);
  const inside = simulation.hosts.filter((h) => simulation.zoneOf(h) === site);
  simulation.connectionFaults.cutZone(site, inside, ms);
  observeZoneCut(simulation, inside, ms);
}

/** Notes who leads, and that work goes on, while a zone is cut off. */
function observeZoneCut(simulation: Simulation, inside: readonly string[], ms: number): void {
  const { clock, observedEvents, checker } = simulation;
  const until = clock.now + ms;
  if (inside.length === 1 && simulation.leader === inside[0])
    observedEvents.record('leader alone in its zone');
  simulation.onLog.push((text) => {
    if (text !== 'elected leader' || clock.now > until) return;
    clock.after(0, () => {
      const outside = simulation.leaders.some((host) => !inside.includes(host));
      if (outside) observedEvents.record('leader elected outside a cut zone');
    });
  });
  checker.onTaskStart.push(() => {
    if (clock.now <= until) observedEvents.record('work while a zone is cut');
  });
}

/** Injects the faults, each at its time from now. */
export function injectFaults(simulation: Simulation, faults: readonly Fault[]): void {
  for (const t of faults) simulation.clock.after(t.at * 1000, () => begin(simulation, t));
}

function begin(simulation: Simulation, t: Fault): void {
  const ms = (t.for ?? 0) * 1000;
  const { clock, random, network, stateStore } = simulation;
  switch (t.kind) {
    case 'refused':
      return hostsOf(simulation, t.who).forEach((h) => stateStore.refuse(h, ms));
    case 'unwatched':
      return hostsOf(simulation, t.who).forEach((h) => stateStore.refuseWatches(h, ms));
    case 'outage':
      return stateStore.outage(ms);
    case 'limits fall':
      return stateStore.lowerLimits(simulation.upcomingStateLimits);
    case 'slow':
      return stateStore.slowDown(ms);
    case 'peers refused':
      return simulation.connectionFaults.refusePeers(ms);
    case 'elections':
      return simulation.processes.killElected(10, ms);
    case 'isolated':
      return hostsOf(simulation, t.who).forEach((h) => simulation.connectionFaults.isolate(h, ms));
    case 'standing still':
      return hostsOf(simulation, t.who).forEach((h) => simulation.processes.freeze(h, ms));
    case 'no workers':
      return hostsOf(simulation, t.who).forEach((h) =>
        simulation.connectionFaults.cutFromWorkers(h, ms),
      );
    case 'ended':
      return hostsOf(simulation, t.who).forEach((h) => simulation.kill(h, t.restartAfter * 1000));
    case 'quick boots':
      return simulation.cloud.bootQuickly(ms);
    case 'everyone asks':
      return simulation.users.everyonePolls(1000, ms);
    case 'slow links':
      network.maxLatencyMs = 400;
      clock.after(ms, () => {
        network.maxLatencyMs = 2;
      });
      return;
    case 'ended beside new machines':
      return endBesideNewMachines(simulation, t.restartAfter * 1000, ms);
    case 'lost answers':
      return stateStore.loseResponses(t.share, ms);
    case 'late commands':
      network.delayedCommands = t.share;
      clock.after(ms, () => {
        network.delayedCommands = 0;
      });
      return;
    case 'reports for the next leader':
      return keepReports(simulation, t.share, t.after * 1000, ms);
    case 'machines restart':
      return some(simulation, t.share).forEach((w) => w.restart(t.restartAfter * 1000));
    case 'cancelled at hand-overs':
      return cancelAtHandOvers(simulation, t.count, ms);
    case 'close looks':
      return pollAfterChanges(simulation, t.cancelled, ms);
    case 'stream':
      return stream(simulation, t);
    case 'late writes':
      return stateStore.delayWrites(t.share, ms);
    case 'late reports':
      network.duplicatedHeartbeats = t.share;
      clock.after(ms, () => {
        network.duplicatedHeartbeats = 0;
      });
      return;
    case 'machines cut':
      return simulation.machineFaults.cut(t.share, ms);
    case 'machines deaf':
      return some(simulation, t.share).forEach((w) =>
        simulation.connectionFaults.blockInbound(w, ms, 'reset'),
      );
    case 'machines mute':
      return some(simulation, t.share).forEach((w) => w.blockHeartbeats(ms));
    case 'machines lost':
      return some(simulation, t.share).forEach((w) => w.die());
    case 'machines hang':
      return some(simulation, t.share).forEach((w) => w.hang(ms));
    case 'commands held':
      return some(simulation, t.share).forEach((w) =>
        simulation.connectionFaults.blockInbound(w, ms, 'hold'),
      );
    case 'answers held':
      return some(simulation, t.share).forEach((w) =>
        simulation.connectionFaults.holdOutbound(w, ms),
      );
    case 'zone cut':
      return cutZone(simulation, t, ms);
    case 'led from':
      return simulation.hosts.forEach((host) => {
        if (host !== t.host) simulation.kill(host, t.restartAfter * 1000);
      });
    case 'cancelled':
      return cancel(simulation, t);
    case 'cancelled at the end': {
      const until = clock.now + ms;
      simulation.checker.onLastTaskCompleted.push((id) => {
        if (clock.now <= until && random.next() < t.share) simulation.cancel(id);
      });
      return;
    }
    case 'odd requests':
      return sendUnusualRequests(simulation, ms);
    case 'jobs':
      for (let i = 0; i < t.count; i++)
        simulation.submit(simulation.jobWith(t.template ?? {}), null);
  }
}
