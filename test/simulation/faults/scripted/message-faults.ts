/** Scripted faults of messages between machines and controllers, and of the network's latency. */
import { USUAL_MAX_LATENCY_MS } from '../../network.js';
import type { Simulation } from '../../simulation.js';
import type { Injectors } from './injectors.js';

interface HeartbeatReplay {
  /** Share of the heartbeats that the network copies; it keeps the copies for later delivery. */
  share: number;
  /** Seconds from each election until the kept copies of heartbeats arrive at every controller. */
  after: number;
}

/** Parameters of the faults of messages. */
export interface MessageFaults {
  slowNetwork: object;
  /** For a share of the heartbeats, delivers a copy at least 2 s after the original. */
  duplicatedHeartbeats: { share: number };
  /** Delays a share of the direct commands by several seconds, and loses their responses. */
  delayedCommands: { share: number };
  heartbeatsReplayedToTheNextLeader: HeartbeatReplay;
}

/** Maximum one-way latency of a message while the network is slow, in milliseconds. */
const SLOW_MAX_LATENCY_MS = 400;

/** Injectors of the faults of messages. */
export const messageFaults: Injectors<MessageFaults> = {
  slowNetwork: ({ clock, network }, _, ms) => {
    network.maxLatencyMs = SLOW_MAX_LATENCY_MS;
    clock.after(ms, () => {
      network.maxLatencyMs = USUAL_MAX_LATENCY_MS;
    });
  },
  duplicatedHeartbeats: ({ clock, network }, { share }, ms) => {
    network.duplicatedHeartbeats = share;
    clock.after(ms, () => {
      network.duplicatedHeartbeats = 0;
    });
  },
  delayedCommands: ({ clock, network }, { share }, ms) => {
    network.delayedCommands = share;
    clock.after(ms, () => {
      network.delayedCommands = 0;
    });
  },
  heartbeatsReplayedToTheNextLeader: replayHeartbeats,
};

/** Keeps copies of heartbeats, and delivers them to every controller after each election. */
function replayHeartbeats(
  simulation: Simulation,
  { share, after }: HeartbeatReplay,
  durationMs: number,
): void {
  const { network, clock } = simulation;
  const until = clock.now + durationMs;
  network.retainedHeartbeats = share;
  clock.after(durationMs, () => {
    network.retainedHeartbeats = 0;
  });
  simulation.processes.onLog.push((message) => {
    if (message !== 'elected leader' || clock.now > until) return;
    const addresses = simulation.hosts.map((host) => simulation.apiOf(host));
    network.deliverRetained(addresses, after * 1000);
  });
}
