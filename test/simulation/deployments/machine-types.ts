/** Machine types used by several deployments. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';

/** A machine type with GPUs. */
export const bigMachine: MachineType = {
  ...{ name: 'big', cpus: 16, gpus: 4, memoryGb: 128, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 8, spotPrice: 3, bootS: 15, zones: ['a', 'b'] },
};

/** A machine type without GPUs. */
export const smallMachine: MachineType = {
  ...{ name: 'small', cpus: 8, gpus: 0, memoryGb: 32, cacheGb: 20, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 0.4, bootS: 10, zones: ['a', 'b'] },
};
