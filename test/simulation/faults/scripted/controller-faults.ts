/** Scripted faults of controllers and of their connections. */
import type { Simulation } from '../../simulation.js';
import { NEW_MACHINE_MS } from '../observed-events.js';
import type { Injectors } from './injectors.js';
import { hostsOf, type OnControllers } from './targets.js';

interface Restart {
  /** Seconds from the kill of a process to its restart. */
  restartAfter: number;
}

interface ZoneCut {
  zone: string;
  /**
   * Selects the zone that is cut off and the controllers inside it.
   *
   * If the deployment assigns controllers to zones, all controllers of the zone are inside it.
   * `leader` cuts off the leader's zone, and `follower` the zone of one follower; both ignore `zone`.
   * `single` cuts off `zone`.
   *
   * If the deployment assigns no zones, `zone` is cut off, and the leader or one follower counts as
   * inside it. `single` is meant only for deployments that assign zones.
   */
  inside: 'leader' | 'follower' | 'single';
}

/** Parameters of the faults of controllers. */
export interface ControllerFaults {
  controllersKilled: OnControllers & Restart;
  /** Kills the leader shortly after a new machine has booted or has started a task. */
  leaderKilledWhileMachinesStart: Restart;
  /** Kills the current leader repeatedly, at random intervals. */
  repeatedElections: object;
  controllersFrozen: OnControllers;
  /** Cuts controllers off from the state store and their peers, but not from workers and users. */
  controllersIsolated: OnControllers;
  cutOffFromWorkers: OnControllers;
  peerConnectionsRefused: object;
  /** Makes the controller on `host` the leader: kills the others, which then restart. */
  leaderMoved: Restart & { host: string };
  zoneCutOff: ZoneCut;
}

/** Number of times that `repeatedElections` kills the current leader. */
const LEADER_KILLS = 10;
/** Maximum time from the boot of a new machine to the kill of the leader, in milliseconds. */
const KILL_AFTER_BOOT_MS = 1500;
/** Maximum time from a task start on a new machine to the kill of the leader, in milliseconds. */
const KILL_AFTER_TASK_START_MS = 300;

/** Injectors of the faults of controllers. */
export const controllerFaults: Injectors<ControllerFaults> = {
  controllersKilled: (simulation, { target, restartAfter }) => {
    for (const host of hostsOf(simulation, target)) simulation.kill(host, restartAfter * 1000);
  },
  leaderKilledWhileMachinesStart: (simulation, { restartAfter }, ms) =>
    killLeaderWhileMachinesStart(simulation, restartAfter * 1000, ms),
  repeatedElections: ({ processes }, _, ms) => processes.killElected(LEADER_KILLS, ms),
  controllersFrozen: (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.processes.freeze(host, ms);
  },
  controllersIsolated: (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target)) simulation.connectionFaults.isolate(host, ms);
  },
  cutOffFromWorkers: (simulation, { target }, ms) => {
    for (const host of hostsOf(simulation, target))
      simulation.connectionFaults.cutFromWorkers(host, ms);
  },
  peerConnectionsRefused: ({ connectionFaults }, _, ms) => connectionFaults.refusePeers(ms),
  leaderMoved: (simulation, { host, restartAfter }) => {
    for (const other of simulation.hosts)
      if (other !== host) simulation.kill(other, restartAfter * 1000);
  },
  zoneCutOff: cutZone,
};

/** Kills the leader shortly after a new machine has booted or has started a task. */
function killLeaderWhileMachinesStart(
  simulation: Simulation,
  restartMs: number,
  durationMs: number,
): void {
  const { clock, random, cloud, checker } = simulation;
  const until = clock.now + durationMs;
  let killScheduled = false;
  const scheduleKillWithin = (ms: number): void => {
    if (killScheduled || clock.now > until) return;
    killScheduled = true;
    clock.after(random.between(0, ms), () => {
      killScheduled = false;
      const { leader } = simulation;
      if (leader === null) return;
      simulation.observedEvents.record('leader killed while a new machine starts');
      simulation.kill(leader, restartMs);
    });
  };
  cloud.onBoot.push(() => scheduleKillWithin(KILL_AFTER_BOOT_MS));
  checker.onTaskStart.push(({ machine }) => {
    if (cloud.ageMs(machine) < NEW_MACHINE_MS) scheduleKillWithin(KILL_AFTER_TASK_START_MS);
  });
}

function cutZone(simulation: Simulation, { zone, inside }: ZoneCut, ms: number): void {
  const host = hostsOf(simulation, inside === 'leader' ? 'leader' : 'others')[0] ?? '';
  const zoneToCut = inside === 'single' ? zone : simulation.zoneOf(host);
  if (zoneToCut === undefined) return simulation.connectionFaults.cutZone(zone, [host], ms);
  const hostsInside = simulation.hosts.filter((other) => simulation.zoneOf(other) === zoneToCut);
  simulation.connectionFaults.cutZone(zoneToCut, hostsInside, ms);
  observeZoneCut(simulation, hostsInside, ms);
}

/**
 * Records observed events of a zone that is cut off: that the leader is alone inside it, that a leader
 * is elected outside it, and that tasks start while it is cut off.
 */
function observeZoneCut(
  simulation: Simulation,
  hostsInside: readonly string[],
  durationMs: number,
): void {
  const { clock, observedEvents, checker } = simulation;
  const until = clock.now + durationMs;
  if (hostsInside.length === 1 && simulation.leader === hostsInside[0])
    observedEvents.record('leader alone in its zone');
  simulation.processes.onLog.push((message) => {
    if (message !== 'elected leader' || clock.now > until) return;
    clock.after(0, () => {
      const hasLeaderOutside = simulation.processes
        .leaders()
        .some((host) => !hostsInside.includes(host));
      if (hasLeaderOutside) observedEvents.record('leader elected outside a zone that is cut off');
    });
  });
  checker.onTaskStart.push(() => {
    if (clock.now <= until) observedEvents.record('task started while a zone is cut off');
  });
}
