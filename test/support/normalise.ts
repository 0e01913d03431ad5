/** Replaces values that differ between runs (ids, times, ports, boot ids, hashes) by placeholders. */
const UUID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;
const REPLACEMENTS: readonly (readonly [RegExp, string])[] = [
  [UUID, 'ID'],
  [/\\"created\\":\d+/g, '\\"created\\":TIME'],
  [/127\.0\.0\.1:\d+/g, 'ADDRESS'],
  [/vm-\d+\/[0-9a-f]{8}/g, 'NODE/ID'],
  [/"at":"[^"]+"/g, '"at":"TIME"'],
  [/"(body|fingerprint)":"[A-Za-z0-9+/=_-]{24,}"/g, '"$1":"HASH"'],
];

export default function normalise(value: unknown): unknown {
  let text = JSON.stringify(value);
  for (const [pattern, replacement] of REPLACEMENTS) {
    text = text.replace(pattern, replacement);
  }
  return JSON.parse(text);
}
