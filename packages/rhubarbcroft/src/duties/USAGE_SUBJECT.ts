/** The subject of all usage reports. */
const USAGE_SUBJECT = 'usage';

export default USAGE_SUBJECT;
