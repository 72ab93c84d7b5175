/** Writes the records of machines that have changed, and restores what earlier leaders have recorded. */
import type { Assignment, Machine, RecordedTask } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore, WritePriority } from '../store/record-store.js';
import { isList } from '../wire/cbor.js';
import {
  decodeImages,
  decodeMachineRecord,
  encodeImages,
  encodeMachineRecord,
} from './machine-record.js';
import type { MachineRegistry } from './machine-registry.js';

const MACHINE_PREFIX = 'm/';
const IMAGES_PREFIX = 'i/';

/** Key of the record of a machine's assignments. */
export function machineKey(id: string): string {
  return `${MACHINE_PREFIX}${id}`;
}

/** Key of the record of the images cached on a machine. */
export function imagesKey(id: string): string {
  return `${IMAGES_PREFIX}${id}`;
}

/** What follows from records that were read or stored. */
export interface MachineStoreEvents {
  /** An earlier leader has recorded a task on the machine, assigned at this time of the steady clock. */
  taskRestored(machine: Machine, task: RecordedTask, assignedAt: number): void;
  /** The machine's planned assignments are recorded: they may be started (invariant 4). */
  assignmentsRecorded(machine: Machine): void;
}

/** Writes the machines that have changed once per batch of the event loop. */
export class MachineStore {
  private readonly changedMachines = new Set<Machine>();
  /** Machines whose images changed; their records are never urgent. */
  private readonly machinesWithChangedImages = new Set<Machine>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly records: Pick<RecordStore, 'has' | 'list' | 'set'>,
    private readonly registry: MachineRegistry,
    private readonly events: MachineStoreEvents,
  ) {}

  /** Restores what earlier leaders have recorded; called once, at failover. */
  restore(): void {
    for (const { key, value } of this.records.list(MACHINE_PREFIX))
      this.restoreMachine(key.slice(MACHINE_PREFIX.length), value);
    for (const { key, value } of this.records.list(IMAGES_PREFIX))
      this.restoreImages(key.slice(IMAGES_PREFIX.length), value);
  }

  private restoreMachine(id: string, value: unknown): void {
    // Anything else is not the record of a machine.
    if (!isList(value)) return;
    const wallClockNow = this.eventLoop.runtime.wallClock();
    const record = decodeMachineRecord(value, wallClockNow);
    const machine = this.registry.getOrCreate(id);
    machine.agentEpoch = record.agentEpoch;
    this.registry.setDescription(machine, record);
    for (const task of record.tasks) {
      const ageMs = Math.max(0, wallClockNow - task.assignedAtWallClock);
      this.events.taskRestored(machine, task, this.eventLoop.now() - ageMs);
    }
  }

  private restoreImages(id: string, value: unknown): void {
    const { images } = this.registry.getOrCreate(id);
    if (!isList(value)) return;
    for (const [image, sizeGb] of decodeImages(value)) images.set(image, sizeGb);
  }

  /** Notes that the machine's agent epoch or assignments differ from its record. */
  markChanged(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Notes that the machine's images differ from their record. */
  markImagesChanged(machine: Machine): void {
    this.machinesWithChangedImages.add(machine);
  }

  /** Removes the records of a machine that is gone for good. */
  remove(machine: Machine): void {
    this.changedMachines.delete(machine);
    this.machinesWithChangedImages.delete(machine);
    for (const key of [machineKey(machine.id), imagesKey(machine.id)])
      if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
  }

  /** Writes the records of all machines that have changed. */
  flush(): void {
    for (const machine of this.changedMachines) this.write(machine);
    this.changedMachines.clear();
    for (const machine of this.machinesWithChangedImages)
      this.records.set(imagesKey(machine.id), encodeImages(machine.images), 'deferrable');
    this.machinesWithChangedImages.clear();
  }

  private write(machine: Machine): void {
    const key = machineKey(machine.id);
    if (machine.assignments.size === 0 && !this.records.has(key)) return;
    const plannedAssignments = [...machine.assignments.values()].filter(
      ({ phase }) => phase === 'planned',
    );
    const value = encodeMachineRecord(
      machine,
      this.settings,
      this.eventLoop.now(),
      this.eventLoop.runtime.wallClock(),
    );
    this.records.set(key, value, writePriorityOf(plannedAssignments), () => {
      for (const assignment of plannedAssignments)
        if (assignment.phase === 'planned') assignment.phase = 'recorded';
      this.events.assignmentsRecorded(machine);
    });
  }
}

/** Replicas of services go first, since each second without one is downtime. */
function writePriorityOf(plannedAssignments: readonly Assignment[]): WritePriority {
  if (plannedAssignments.some(({ job }) => job?.isService === true)) return 'immediate';
  return plannedAssignments.length > 0 ? 'urgent' : 'deferrable';
}
