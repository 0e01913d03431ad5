/** The classes of faults that a run of the soak can include. */
const FAULT_CLASSES = ['general', 'pauses', 'answers', 'entries', 'timeouts', 'prompts'] as const;

export default FAULT_CLASSES;
