/**
 * Test helpers that create instance announcements and views.
 */
import * as instanceView from './instanceView.js';
import type * as types from './types.js';

/** Creates an announcement of a ready instance of a model service. */
export function announcement(
  identity: string,
  changes: Partial<types.Announcement> = {},
): types.Announcement {
  return {
    identity,
    name: identity,
    born: 0,
    service: 'llm',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    softwareVersion: 'v1',
    slots: 24,
    state: 'ready',
    warmUpLeft: 0,
    sequence: 1,
    ...changes,
  };
}

/** Creates a view that records its changes as `identity event`. */
export function createView(): { view: instanceView.InstanceView; events: string[] } {
  const events: string[] = [];
  const view = new instanceView.InstanceView(({ changes }) => {
    events.push(...changes.map(({ instance, event }) => `${instance.identity} ${event}`));
  });
  return { view, events };
}
