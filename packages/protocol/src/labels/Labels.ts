/** The labels of an endpoint or a request: a map from string keys to string values. */
type Labels = Readonly<Record<string, string>>;

export default Labels;
