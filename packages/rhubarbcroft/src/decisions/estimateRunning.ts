/** Estimates how many requests an endpoint runs or queues now: those of its last report and the unreported ones. */
import type EndpointView from './EndpointView.js';

export default function estimateRunning(endpoint: EndpointView): number {
  return endpoint.reportedRunning + endpoint.unseenRequests;
}
