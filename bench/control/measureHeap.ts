/** Measures the approximate heap size of a value; needs `--expose-gc`, since it collects garbage before and after. */
export default function measureHeap<Value>(create: () => Value): {
  readonly value: Value;
  readonly heapBytes: number;
} {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  globalThis.gc?.();
  return { value, heapBytes: process.memoryUsage().heapUsed - before };
}
