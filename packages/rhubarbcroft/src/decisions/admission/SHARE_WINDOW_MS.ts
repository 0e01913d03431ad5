/** The time constant over which served cost is summed, for one kind and for all kinds alike. */
const SHARE_WINDOW_MS = 10_000;

export default SHARE_WINDOW_MS;
