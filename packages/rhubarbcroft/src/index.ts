/** Entry point of the daemon's package: exports the function that builds a node's supervisor tree. */
export { default } from './node/createNode.js';
