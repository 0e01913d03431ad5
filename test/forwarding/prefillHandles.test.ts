/**
 * Guards against handles from an engine in trouble that can't be sent in a header or a path: the sound target would count
 * as unreachable, and the release of the handle would end the process.
 */
import { expect } from 'chai';
import PlatformProtocol from '@rhubarbcroft/platform/PlatformProtocol';

describe('the handle of a prefill', () => {
  it('is refused when it can be sent neither in a header nor in a path', () => {
    const protocol = new PlatformProtocol();
    const handles = [
      'kv-1',
      '',
      '\ud800',
      'a\nb',
      'a\u0000',
      'a\u2028',
      'a b',
      'x'.repeat(100_000),
    ];
    const accepted = handles.filter(
      (kvHandle) => protocol.parsePrefillHandle(Buffer.from(JSON.stringify({ kvHandle }))).isOk,
    );
    expect(accepted).to.deep.equal(['kv-1']);
  });
});
