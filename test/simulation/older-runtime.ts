/** Lets controllers of older versions run on today's runtime, whose members had other names. */
import type { Controller } from '../../src/controller/controller.js';
import type { Runtime, Timer } from '../../src/controller/runtime/runtime.js';

type ControllerClass = typeof Controller;
type ControllerArgumentsAfterRuntime =
  ConstructorParameters<ControllerClass> extends [Runtime, ...infer Rest] ? Rest : never;

/** The runtime interface as the older versions know it, where its names differ. */
interface OlderRuntime extends Pick<Runtime, 'startedAt' | 'now' | 'random' | 'call' | 'sendPeer'> {
  wall(): number;
  soon(task: () => void): void;
  timer(ms: number, task: () => void): Timer;
  mayCall(to: string): boolean;
}

/** Today's runtime by the older names. */
function olderRuntime(runtime: Runtime): OlderRuntime {
  return {
    startedAt: runtime.startedAt,
    now: () => runtime.now(),
    random: () => runtime.random(),
    call: (call, done) => runtime.call(call, done),
    sendPeer: (host, bytes) => runtime.sendPeer(host, bytes),
    wall: () => runtime.wallClock(),
    soon: (task) => runtime.defer(task),
    timer: (ms, task) => runtime.startTimer(ms, task),
    mayCall: (to) => runtime.hasSpareConnection(to),
  };
}

/** An older version's controller that runs on today's runtime. */
export function onOlderRuntime(OlderController: ControllerClass): ControllerClass {
  return class extends OlderController {
    constructor(runtime: Runtime, ...rest: ControllerArgumentsAfterRuntime) {
      super(olderRuntime(runtime) as unknown as Runtime, ...rest);
    }
  };
}
