/**
 * Runs controllers of older program versions on the current runtime, whose members had other names
 * in those versions.
 */
import type { Controller } from '../../src/controller/controller.js';
import type { Runtime, Timer } from '../../src/controller/runtime/runtime.js';

type ControllerClass = typeof Controller;
type ControllerArgumentsAfterRuntime =
  ConstructorParameters<ControllerClass> extends [Runtime, ...infer Rest] ? Rest : never;

/** The runtime interface of the older versions, with the former names of its members. */
interface OlderRuntime extends Pick<Runtime, 'startedAt' | 'now' | 'random' | 'call' | 'sendPeer'> {
  wall(): number;
  soon(task: () => void): void;
  timer(ms: number, task: () => void): Timer;
  mayCall(to: string): boolean;
}

/** Returns the current runtime with the member names that older versions use. */
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

/** Returns a subclass of an older version's controller class that accepts the current runtime. */
export function onOlderRuntime(OlderController: ControllerClass): ControllerClass {
  return class extends OlderController {
    constructor(runtime: Runtime, ...rest: ControllerArgumentsAfterRuntime) {
      super(olderRuntime(runtime) as unknown as Runtime, ...rest);
    }
  };
}
