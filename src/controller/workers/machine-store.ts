/** The records of machines: what of them is to be written, and what earlier leaders have left. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore, WritePriority } from '../store/record-store.js';
import type { Assignment } from './assignment.js';
import type { Machine } from './machine.js';
import { decodeMachineRecord, encodeMachineRecord, type RecordedTask } from './machine-record.js';
import type { MachineRegistry } from './machine-registry.js';

const MACHINE_PREFIX = 'm/';
const IMAGES_PREFIX = 'i/';

/** Key of the record of a machine's assignments. */
export function machineKey(id: string): string {
  return `${MACHINE_PREFIX}${id}`;
}

/** Key of the record of the images on a machine. */
export function imagesKey(id: string): string {
  return `${IMAGES_PREFIX}${id}`;
}

/** What the store of machines tells of. */
export interface MachineStoreEvents {
  /** A task that an earlier leader has left on the machine. */
  taskRestored(machine: Machine, task: RecordedTask, since: number): void;
  /** The machine's planned assignments are on record: they may be started. */
  assignmentsRecorded(machine: Machine): void;
}

/** Writes machines that have changed, once a batch. */
export class MachineStore {
  private readonly changed = new Set<Machine>();
  /** Machines whose images changed: written in their own time. */
  private readonly imagesChanged = new Set<Machine>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly records: Pick<RecordStore, 'has' | 'list' | 'set'>,
    private readonly registry: MachineRegistry,
    private readonly events: MachineStoreEvents,
  ) {}

  /** What the leaders before have left, read at takeover. */
  restore(): void {
    for (const { key, value } of this.records.list(MACHINE_PREFIX))
      this.restoreMachine(key.slice(MACHINE_PREFIX.length), value);
    for (const { key, value } of this.records.list(IMAGES_PREFIX))
      this.restoreImages(key.slice(IMAGES_PREFIX.length), value);
  }

  private restoreMachine(id: string, value: unknown): void {
    const wall = this.eventLoop.runtime.wallClock();
    const record = decodeMachineRecord(value, wall);
    if (record === null) return;
    const machine = this.registry.getOrCreate(id);
    machine.agentEpoch = record.agentEpoch;
    this.registry.setDescription(machine, record);
    for (const task of record.tasks) {
      const ageMs = Math.max(0, wall - task.assignedAtWallClock);
      this.events.taskRestored(machine, task, this.eventLoop.now() - ageMs);
    }
  }

  private restoreImages(id: string, value: unknown): void {
    const { images } = this.registry.getOrCreate(id);
    if (!Array.isArray(value)) return;
    for (let i = 0; i + 1 < value.length; i += 2)
      images.set(String(value[i]), Number(value[i + 1]));
  }

  /** The machine's session or assignments differ from its record. */
  markChanged(machine: Machine): void {
    this.changed.add(machine);
  }

  /** The machine's images differ from their record. */
  markImagesChanged(machine: Machine): void {
    this.imagesChanged.add(machine);
  }

  /** The machine is gone for ever, and so are its records. */
  remove(machine: Machine): void {
    this.changed.delete(machine);
    this.imagesChanged.delete(machine);
    for (const key of [machineKey(machine.id), imagesKey(machine.id)])
      if (this.records.has(key)) this.records.set(key, undefined, 'lazy');
  }

  /** Writes all that has changed. */
  flush(): void {
    for (const machine of this.changed) this.write(machine);
    this.changed.clear();
    for (const machine of this.imagesChanged)
      this.records.set(imagesKey(machine.id), [...machine.images].flat(), 'lazy');
    this.imagesChanged.clear();
  }

  private write(machine: Machine): void {
    const key = machineKey(machine.id);
    if (machine.assignments.size === 0 && !this.records.has(key)) return;
    const planned = [...machine.assignments.values()].filter(({ phase }) => phase === 'planned');
    const value = encodeMachineRecord(
      machine,
      this.settings,
      this.eventLoop.now(),
      this.eventLoop.runtime.wallClock(),
    );
    this.records.set(key, value, urgencyOf(planned), () => {
      for (const assignment of planned)
        if (assignment.phase === 'planned') assignment.phase = 'recorded';
      this.events.assignmentsRecorded(machine);
    });
  }
}

/** Replicas go first, since each second without one is downtime. */
function urgencyOf(planned: readonly Assignment[]): WritePriority {
  if (planned.some(({ job }) => job?.isService === true)) return 'first';
  return planned.length > 0 ? 'urgent' : 'lazy';
}
