/**
 * Writes the records of changed machines, and restores machines from the records of earlier
 * leaders.
 */
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

/** Returns the key of the record that holds a machine and its assignments. */
export function machineKey(id: string): string {
  return `${MACHINE_PREFIX}${id}`;
}

/** Returns the key of the record that holds the images cached on a machine. */
export function imagesKey(id: string): string {
  return `${IMAGES_PREFIX}${id}`;
}

/** Events that `MachineStore` raises after records were read or stored. */
export interface MachineStoreEvents {
  /**
   * A task was found in the machine's record. `assignedAt` is on this node's monotonic clock, in
   * ms.
   */
  taskRestored(machine: Machine, task: RecordedTask, assignedAt: number): void;
  /**
   * The machine's planned assignments are now in its stored record, so their start commands may be
   * sent (invariant 4: assignments are recorded before they are started).
   */
  assignmentsRecorded(machine: Machine): void;
}

/** Writes the records of changed machines, once per batch of the event loop. */
export class MachineStore {
  private readonly changedMachines = new Set<Machine>();
  /** Machines whose cached images changed. Writing their image records is never urgent. */
  private readonly machinesWithChangedImages = new Set<Machine>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly records: Pick<RecordStore, 'has' | 'list' | 'set'>,
    private readonly registry: MachineRegistry,
    private readonly events: MachineStoreEvents,
  ) {}

  /** Restores machines, tasks and cached images from stored records. Called once, at failover. */
  restore(): void {
    for (const { key, value } of this.records.list(MACHINE_PREFIX))
      this.restoreMachine(key.slice(MACHINE_PREFIX.length), value);
    for (const { key, value } of this.records.list(IMAGES_PREFIX))
      this.restoreImages(key.slice(IMAGES_PREFIX.length), value);
  }

  private restoreMachine(id: string, value: unknown): void {
    // A machine record is always a list; any other value is ignored.
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

  /** Marks the machine's record for writing, because its agent epoch or assignments changed. */
  markChanged(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Marks the machine's image record for writing, because its cached images changed. */
  markImagesChanged(machine: Machine): void {
    this.machinesWithChangedImages.add(machine);
  }

  /** Removes both records of a machine that is permanently gone. */
  remove(machine: Machine): void {
    this.changedMachines.delete(machine);
    this.machinesWithChangedImages.delete(machine);
    for (const key of [machineKey(machine.id), imagesKey(machine.id)])
      if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
  }

  /** Writes all records that are marked as changed. */
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

/**
 * Returns the write priority for a machine's record. Records with new replicas of services go
 * first, because each second without a replica is downtime of the service.
 */
function writePriorityOf(plannedAssignments: readonly Assignment[]): WritePriority {
  if (plannedAssignments.some(({ job }) => job?.isService === true)) return 'immediate';
  return plannedAssignments.length > 0 ? 'urgent' : 'deferrable';
}
