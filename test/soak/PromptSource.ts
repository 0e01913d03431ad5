/**
 * Creates the prompts of the soak's requests as lists of parts. All share their first part and some their second;
 * the last is a request's own. While a deadly part is set, some requests of one path have it after the first.
 */
const SHARED_PART = '5c1e07a2:500';
const COMMON_PARTS = ['91bd3f06:200', 'a2c4e801:200', '3f00d7b5:200'] as const;
const DEADLY_PART = /(?:^|,)(dead\d+):/;
/** One request in this many of the path has the deadly part. */
const DEADLY_PERIOD = 10;

export default class PromptSource {
  #deadlyPath: string | undefined;

  #deadlyPartCount = 0;

  #requestCount = 0;

  /** Number of requests of a path with a deadly part. */
  #candidateCount = 0;

  /** Adds a new deadly part to requests of the path. */
  addDeadlyPart(path: string): void {
    this.#deadlyPath = path;
    this.#deadlyPartCount += 1;
  }

  removeDeadlyPart(): void {
    this.#deadlyPath = undefined;
  }

  /** Returns the value of `x-prefix-hash` for a request. */
  createParts(path: string, requestId: string): string {
    const isCandidate = path === this.#deadlyPath;
    this.#candidateCount += isCandidate ? 1 : 0;
    this.#requestCount += 1;
    const common = COMMON_PARTS[this.#requestCount % COMMON_PARTS.length];
    const isDeadly = isCandidate && this.#candidateCount % DEADLY_PERIOD === 0;
    const deadly = isDeadly ? [`dead${this.#deadlyPartCount}:100`] : [];
    const own = `${Buffer.from(requestId).toString('hex')}:${isDeadly ? 100 : 200}`;
    return [SHARED_PART, ...deadly, common, own].join(',');
  }

  /** The id of the deadly part in a list of parts, if there is one. */
  static findDeadlyPart(parts: string): string | undefined {
    return DEADLY_PART.exec(parts)?.[1];
  }
}
