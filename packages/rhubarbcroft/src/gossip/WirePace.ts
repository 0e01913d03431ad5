/** A sample of an endpoint's pace in a notice: instance id, index of the measure, hundredths of the value. */
type WirePace = readonly [string, number, number];

export default WirePace;
