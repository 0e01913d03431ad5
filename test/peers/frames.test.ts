/** Frames between peers and their authentication: contents, limits, invalid frames and keys. */
import { connect } from 'node:net';
import { expect } from 'chai';
import createPeerCodec from 'rhubarbcroft/peers/createPeerCodec';
import PeerKey from 'rhubarbcroft/peers/PeerKey';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';

const HEARTBEAT: PeerMessage = {
  type: 'heartbeat',
  nodeId: 'vm-1',
  incarnation: '0a1b2c3d',
  domain: 'litoral',
  configurationVersion: 17,
  leaving: false,
  demand: [{ model: 'appraiser', promptTokensPerS: 1200, outputTokensPerS: 300 }],
};

describe('peer protocol', () => {
  it('decodes frames unchanged wherever the byte stream is split', () => {
    const messages: readonly PeerMessage[] = [
      HEARTBEAT,
      { type: 'sends', sends: [{ endpointId: 'engine-1', rank: 0, promptTokens: 120, ageMs: 12 }] },
      { type: 'drains', drains: [{ endpointId: 'engine-1', remainingMs: 5, handoverAfterMs: 1 }] },
      { type: 'crashCleared', fingerprint: 'f' },
    ];
    const sender = createPeerCodec(1_024);
    const bytes = Buffer.concat(messages.map((message) => sender.encode(message)));
    const receiver = createPeerCodec(1_024);
    const received = [...bytes].flatMap((byte) =>
      receiver.decode(Buffer.from([byte])).unwrapOr([]),
    );
    expect(received).to.deep.equal(messages);
  });

  it('rejects a frame that is too large or holds no known message', () => {
    const describeDecoding = (bytes: Buffer): string => {
      const decoded = createPeerCodec(64).decode(bytes);
      return decoded.isErr ? `${decoded.error.code}: ${decoded.error.detail}` : 'accepted';
    };
    const frame = (body: Buffer): Buffer => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(body.length);
      return Buffer.concat([length, body]);
    };
    expect({
      tooLarge: describeDecoding(frame(Buffer.alloc(65))),
      empty: describeDecoding(frame(Buffer.alloc(0))).split(':')[0],
      notCbor: describeDecoding(frame(Buffer.from([0xff, 0xff]))).split(':')[0],
      otherType: describeDecoding(
        frame(
          createPeerCodec(64)
            .encode({ type: 'gossip' } as never)
            .subarray(4),
        ),
      ),
    }).toMatchSnapshot();
  });

  it('accepts proofs made with the current or the previous key, and no others', () => {
    const present = new PeerKey({ key: 'present-key-present', previousKey: '' });
    const rotating = new PeerKey({ key: 'next-key-next-key', previousKey: 'present-key-present' });
    const stranger = new PeerKey({ key: 'another-key-another', previousKey: '' });
    expect([
      rotating.verifyProof(present.createProof('n', 'vm-1'), 'n', 'vm-1'),
      present.verifyProof(stranger.createProof('n', 'vm-1'), 'n', 'vm-1'),
      present.verifyProof(present.createProof('n', 'vm-2'), 'n', 'vm-1'),
      present.verifyProof('short', 'n', 'vm-1'),
    ]).to.deep.equal([true, false, false, false]);
  });

  it('refuses a peer with a wrong key and ignores the messages that it sends', async () => {
    const fleet = await LocalFleet.start(createSmallFleet());
    try {
      const { peerAddress, program } = fleet.nodes[0];
      const socket = connect({ host: '127.0.0.1', port: Number(peerAddress.split(':')[1]) });
      socket.on('error', () => undefined);
      const codec = createPeerCodec(1_024);
      socket.write(
        codec.encode({ type: 'hello', nodeId: 'vm-9', incarnation: 'x', domain: 'd', nonce: 'n' }),
      );
      socket.write(codec.encode({ type: 'proof', proof: 'wrong' }));
      socket.write(codec.encode({ ...HEARTBEAT, nodeId: 'vm-9', configurationVersion: 99 }));
      await program.waitForLine(
        (line) => line.msg === 'peer authentication failed; closing the connection',
      );
      const readState = async (): Promise<string> =>
        JSON.stringify(await fleet.administer('GET', '/v1/state'));
      await fleet.waitUntil(
        async () => (await readState()).includes('"liveInDomain":["vm-1","vm-2"]'),
        'vm-1 lists itself and vm-2 as live',
      );
      expect(await readState()).not.to.include('vm-9');
    } finally {
      await fleet.stop();
    }
  });
});
