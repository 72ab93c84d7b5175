import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FakeStateStore, FrontendNode, serviceSubmission } from '../../../test/frontend-fixture.js';
import type { ApiResponse } from './api-response.js';

const ID = serviceSubmission.id;

const jobStatusIn = ({ body }: ApiResponse): unknown => (body as { status?: unknown }).status;

describe('nodes that share a state store', () => {
  let store: FakeStateStore;
  let node: FrontendNode;

  beforeEach(() => {
    store = new FakeStateStore();
    node = new FrontendNode(store);
  });

  it('accept a service exactly at its team’s limit, and then report it as pending', () => {
    assert.equal(node.submit(serviceSubmission).status, 201);
    assert.equal(node.submit(serviceSubmission).status, 200);
    assert.equal(new FrontendNode(store).submit(serviceSubmission).status, 200);
    assert.equal(jobStatusIn(new FrontendNode(store).poll(ID)), 'pending');
  });

  it('answer every submission, status query and cancellation of a cancelled job with aborted', () => {
    node.submit(serviceSubmission);
    const cancelled = node.cancel(ID);
    assert.deepEqual([cancelled.status, jobStatusIn(cancelled)], [200, 'aborted']);
    const otherNode = new FrontendNode(store);
    const responses = [node, otherNode, new FrontendNode(store)].flatMap((anyNode) => [
      anyNode.submit(serviceSubmission),
      anyNode.poll(ID),
      anyNode.cancel(ID),
      anyNode.submit({ ...serviceSubmission, expect_s: 'soon' }),
      anyNode.submit({ ...serviceSubmission, duties: 99 }),
    ]);
    assert.equal(responses.length, 15);
    for (const response of responses)
      assert.deepEqual([response.status, jobStatusIn(response)], [200, 'aborted']);
  });

  it('respond with 404 to a status query or cancellation of a job that was never accepted', () => {
    assert.deepEqual([node.poll(ID).status, node.cancel(ID).status], [404, 404]);
  });

  it('cancel a job that another node has accepted', () => {
    node.submit(serviceSubmission);
    const cancelled = new FrontendNode(store).cancel(ID);
    assert.deepEqual([cancelled.status, jobStatusIn(cancelled)], [200, 'aborted']);
    assert.equal(jobStatusIn(node.poll(ID)), 'aborted');
  });

  for (const request of ['poll', 'cancel'] as const)
    it(`respond with 404 to a ${request} request with an invalid job id`, () =>
      assert.equal(node[request]('../lead').status, 404));
});
