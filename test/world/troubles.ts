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
    | { kind: 'ended'; who: Who; back: number }
    | { kind: 'late writes' | 'late reports'; share: number }
    | { kind: 'machines cut' | 'machines deaf' | 'machines mute' | 'machines lost'; share: number }
    | { kind: 'machines hang' | 'commands held' | 'answers held'; share: number }
    | { kind: 'zone cut'; zone: string }
    | { kind: 'cancelled'; count: number; hang?: number; elsewhere?: boolean }
    | { kind: 'cancelled at the end'; share: number }
    | { kind: 'jobs'; count: number }
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

/** Calls off jobs that run, within a fifth of a second; the machines of some may hang at that moment. */
function cancel(world: World, count: number, hangMs: number, elsewhere: boolean): void {
  const { sim } = world;
  const others = hostsOf(world, 'others');
  for (const id of world.rules.running().slice(0, count)) {
    const host = elsewhere ? sim.pick(others) : undefined;
    sim.after(sim.between(0, 200), () => {
      if (hangMs > 0) for (const m of world.rules.machinesOf(id)) world.worker(m)?.hang(hangMs);
      world.cancel(id, host);
    });
  }
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
      return world.cutZone(t.zone, ms);
    case 'cancelled':
      return cancel(world, t.count, (t.hang ?? 0) * 1000, t.elsewhere === true);
    case 'cancelled at the end': {
      world.rules.ending = (id) => {
        if (sim.random() < t.share) world.cancel(id);
      };
      sim.after(ms, () => {
        world.rules.ending = () => undefined;
      });
      return;
    }
    case 'odd requests':
      return world.oddRequests(ms);
    case 'jobs':
      for (let i = 0; i < t.count; i++) world.user(world.randomJob(), null);
  }
}
