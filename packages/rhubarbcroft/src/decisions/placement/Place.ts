/** Where a node is, and which region each failure domain belongs to. */
interface Place {
  readonly domain: string;
  readonly regionsByDomain: Readonly<Record<string, string>>;
}

export default Place;
