/** Scripted faults of single messages between machines and controllers, and of the network's delay. */
import { USUAL_MAX_LATENCY_MS } from '../../network.js';
import type { Simulation } from '../../simulation.js';
import type { Injectors } from './injectors.js';

interface HeartbeatReplay {
  /** Share of the heartbeats of which copies are kept. */
  share: number;
  /** Seconds from the next election until the copies arrive at every controller. */
  after: number;
}

/** Parameters of the faults of messages. */
export interface MessageFaults {
  slowNetwork: object;
  /** Copies of heartbeats arrive again, seconds later. */
  duplicatedHeartbeats: { share: number };
  /** Direct commands that arrive seconds late, and whose responses are lost. */
  delayedCommands: { share: number };
  heartbeatsReplayedToTheNextLeader: HeartbeatReplay;
}

const SLOW_MAX_LATENCY_MS = 400;

/** Begins faults of messages. */
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

/** Keeps copies of heartbeats; they arrive at every controller after the next election. */
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
  simulation.processes.onLog.push((text) => {
    if (text !== 'elected leader' || clock.now > until) return;
    const addresses = simulation.hosts.map((host) => simulation.apiOf(host));
    network.deliverRetained(addresses, after * 1000);
  });
}
