/** How a caller's connection ended, and the requests on it that had no complete answer. */
type EndReason =
  | 'answered'
  | 'answer_cut'
  | 'caller'
  | 'connection_limit'
  | 'header_timeout'
  | 'idle_limit'
  | 'internal_error'
  | 'malformed'
  | 'read_ahead'
  | 'stop';

interface UnansweredRequest {
  /** Undefined while the head is incomplete. */
  readonly requestId: string | undefined;
  readonly bodyComplete: boolean;
  /** Bytes received since the request before it was complete. */
  readonly receivedBytes: number;
  /** Whether the complete request was accepted for forwarding to an endpoint. */
  readonly forwarded: boolean;
  readonly answerBegun: boolean;
  /** Time since the head was complete; for an incomplete head, since the answer before it or the connect. */
  readonly ageMs: number;
}

interface ConnectionEnd {
  /** Who or what ended the connection; `answered` stands for an answer that announced it. */
  readonly reason: EndReason;
  readonly detail: string | undefined;
  readonly unanswered: readonly UnansweredRequest[];
}

export default ConnectionEnd;
