/**
 * The share of a service's engines that is kept in the prefill stage. Prefill is the larger part of the users' load; a
 * decode engine that prefills long prompts delays all of its streams.
 */
const PREFILL_FRACTION = 0.625;

export default PREFILL_FRACTION;
