/** The rank (urgency class) of a request, most urgent first. */
type Rank = 'urgent' | 'standard' | 'patient';

export default Rank;
