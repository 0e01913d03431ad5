/** The name of a result code: a key of `RESULT_CODES`. */
import type RESULT_CODES from './RESULT_CODES.js';

type ResultCodeName = keyof typeof RESULT_CODES;

export default ResultCodeName;
