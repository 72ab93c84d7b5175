/** The gangs whose members are tasks on simulated machines. */
import type { VirtualClock } from '../virtual-clock.js';
import type { Task } from './task.js';

/** The task runner of one gang member. */
export interface GangMemberRunner {
  startGangMember(task: Task): void;
  finish(task: Task, cause: string): void;
}

interface Member {
  runner: GangMemberRunner;
  task: Task;
}

/** Groups gang members by job and attempt, and makes them start and complete together. */
export class Gangs {
  private readonly members = new Map<string, Set<Member>>();
  constructor(private readonly clock: VirtualClock) {}

  /**
   * Adds a waiting member to its gang. When `size` members are waiting, all of them start. They
   * complete after `runMs` if no member has left the gang by then.
   */
  join(runner: GangMemberRunner, task: Task, size: number, runMs: number): void {
    const key = keyOf(task);
    const gang = this.members.get(key) ?? new Set();
    this.members.set(key, gang);
    gang.add({ runner, task });
    const waiting = [...gang].filter((member) => member.task.status === 'waiting');
    if (waiting.length < size) return;
    for (const member of waiting) member.runner.startGangMember(member.task);
    this.clock.after(runMs, () => {
      const running = [...gang].filter((member) => member.task.status === 'running');
      if (running.length === size && gang.size === size)
        for (const member of running) member.runner.finish(member.task, 'done');
    });
  }

  /**
   * Removes a member that has ended. If it ended with a cause other than `done`, the members that
   * still run end after `peerExitMs`.
   */
  leave(task: Task, peerExitMs: number): void {
    const gang = this.members.get(keyOf(task));
    if (gang === undefined) return;
    for (const member of gang) if (member.task === task) gang.delete(member);
    if (task.cause === 'done') return;
    for (const member of gang)
      if (member.task.status === 'running')
        this.clock.after(peerExitMs, () => {
          if (member.task.status === 'running') member.runner.finish(member.task, 'peers');
        });
  }
}

function keyOf(task: Task): string {
  return `${task.jobId}@${task.attempt}`;
}
