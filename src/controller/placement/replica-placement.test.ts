import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serviceCluster, identicalWorkers } from '../../../test/placement-cluster.js';

const largestCount = (counts: Map<string, number>): number => Math.max(...counts.values());

describe('placement of replicas', () => {
  it('puts each replica on its own machine if there are enough machines', () => {
    const cluster = serviceCluster(identicalWorkers(5));
    const job = cluster.add({ tasks: 4 });
    cluster.run(6);
    assert.equal(job.runningCount, 4);
    assert.equal(cluster.tasksByMachine(job).size, 4);
  });

  it('divides replicas evenly between zones with different numbers of machines', () => {
    const cluster = serviceCluster([
      ...identicalWorkers(6, { zone: 'a' }),
      ...identicalWorkers(2, { zone: 'b' }),
    ]);
    const job = cluster.add({ tasks: 4 });
    cluster.run(6);
    const machinesInZoneB = [...cluster.tasksByMachine(job)].filter(
      ([id]) => cluster.worker(id).zone === 'b',
    ).length;
    assert.equal(machinesInZoneB, 2);
    assert.equal(cluster.tasksByMachine(job).size, 4);
  });

  it('replaces a lost replica where machine and zone have the fewest replicas of the service', () => {
    const cluster = serviceCluster([
      ...identicalWorkers(3, { zone: 'a', images: ['i'] }),
      ...identicalWorkers(2, { zone: 'b', images: ['i'] }),
    ]);
    const job = cluster.add({ tasks: 4 });
    cluster.run(4);
    const [failedMachineId = assert.fail()] = [...cluster.tasksByMachine(job).keys()].filter(
      (id) => cluster.worker(id).zone === 'b',
    );
    cluster.exit(job, 'error', failedMachineId);
    cluster.run(4);
    assert.equal(job.runningCount, 4);
    assert.ok(largestCount(cluster.tasksByMachine(job)) <= 2);
    assert.ok(
      !cluster.tasksByMachine(job).has(failedMachineId),
      'the replica is not replaced on the machine where it has just failed',
    );
  });

  it('puts at most half of the replicas on the only machine with the image', () => {
    const cluster = serviceCluster([{ images: ['i'] }, ...identicalWorkers(4)]);
    const job = cluster.add({ tasks: 4 });
    cluster.run(6);
    assert.equal(job.runningCount, 4);
    assert.ok(largestCount(cluster.tasksByMachine(job)) <= 2);
  });

  it('puts all replicas on one machine if no other has capacity', () => {
    const cluster = serviceCluster(identicalWorkers(1));
    const job = cluster.add({ tasks: 4 });
    cluster.run(6);
    assert.equal(job.runningCount, 4);
  });

  it('puts all replicas into one zone if the job requires a single zone', () => {
    const cluster = serviceCluster([
      ...identicalWorkers(3, { zone: 'a' }),
      ...identicalWorkers(3, { zone: 'b' }),
    ]);
    const job = cluster.add({ tasks: 3, singleZone: true });
    cluster.run(6);
    const zones = new Set(
      [...cluster.tasksByMachine(job).keys()].map((id) => cluster.worker(id).zone),
    );
    assert.equal(job.runningCount, 3);
    assert.equal(zones.size, 1);
  });

  it('prefers on-demand machines even if the service may use spot machines', () => {
    const cluster = serviceCluster([
      ...identicalWorkers(2, { spot: true }),
      ...identicalWorkers(2),
    ]);
    const job = cluster.add({ tasks: 2 });
    cluster.run(6);
    for (const id of cluster.tasksByMachine(job).keys()) assert.ok(!cluster.worker(id).spot);
  });
});
