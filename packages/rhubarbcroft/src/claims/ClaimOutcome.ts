/** The outcome of a claim: this process may run the request, or the request has a stored answer to return. */
import type ServiceAnswer from '../endpoints/ServiceAnswer.js';
import type Claim from './Claim.js';

type ClaimOutcome =
  | { readonly type: 'granted'; readonly claim: Claim }
  | { readonly type: 'answered'; readonly answer: ServiceAnswer };

export default ClaimOutcome;
